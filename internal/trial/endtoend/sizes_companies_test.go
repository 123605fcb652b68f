package endtoend

import "net/http"

var snagaZajedno = company{
	name: "Snaga Zajedno", zones: 3, engines: 10, plainServices: 3,
	directory: "snaga-zajedno", engineService: "coaching", model: "coach", plainService: "front-desk",
	engineServerName: "coaching", plainServerName: "front-desk", region: "hr-zagreb", zonePrefix: "zg",
	flooder: "maksimir-hall", floodKind: 0,
	kinds: []requestKind{
		{class: "programme", weight: 0.6, shortest: 60, longest: 600, repeatable: true, buffered: true},
		{class: "session-check", weight: 0.4, shortest: 8, longest: 80, repeatable: true, urgent: true},
		{class: "booking", perSecond: 10, method: http.MethodPost, path: "/bookings", urgent: true},
		{class: "check-in", perSecond: 10, method: http.MethodPost, path: "/check-ins", urgent: true},
		{class: "booking", perSecond: 10, method: http.MethodGet, path: "/tides", repeatable: true, urgent: true},
	},
}

var fjorukofar = company{
	name: "Fjörukofar", zones: 4, engines: 10, plainServices: 4,
	directory: "fjorukofar", engineService: "drafting", model: "drafter", plainService: "booking-desk",
	engineServerName: "drafting", plainServerName: "booking-desk", region: "is-sudurland", zonePrefix: "su",
	flooder: "vik-office", floodKind: 0,
	kinds: []requestKind{
		{class: "agreement-draft", weight: 0.4, shortest: 60, longest: 600},
		{class: "guest-answer", weight: 0.3, shortest: 20, longest: 400, repeatable: true},
		{class: "keeper-answer", weight: 0.3, shortest: 8, longest: 80, repeatable: true, urgent: true},
		{class: "booking", perSecond: 15, method: http.MethodPost, path: "/bookings", urgent: true},
		{class: "booking", perSecond: 10, method: http.MethodGet, path: "/tides", repeatable: true, urgent: true},
	},
}
