package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	revokedKey  = "key-that-is-taken-away"
	revokeBound = 5000 * time.Millisecond
	// copyAge is the age of the copy that the store comes back from, and awayFor the time without the store.
	copyAge = 6000 * time.Millisecond
	awayFor = 300 * time.Millisecond
	// addedAfter is the time from the store's return until a host is added, and writtenAfter the time until the operator
	// has written its configuration again.
	addedAfter   = 1000 * time.Millisecond
	writtenAfter = 3000 * time.Millisecond
)

// restoredStore plays the restore of the store from an older copy while a host is added.
func restoredStore(s *site) (bool, error) {
	routes := []map[string]any{route("book", "/book/", "unsafe", "gym-desk", 2500, 1, false)}
	services := []map[string]any{{"name": "gym-desk"}}
	s.configure(usualLimits(), routes, services, revokedKey)
	desk, err := s.addReplica("gym-desk", 24, answerPlain)
	if err != nil {
		return false, err
	}
	if err := s.addEntries(3, memoryLimitMB); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	copied := s.store.copyOf()
	copiedAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	ackedAt := s.configure(usualLimits(), routes, services)
	s.note("version %d takes a key away; the store has acknowledged it", s.version)
	time.Sleep(time.Until(copiedAt.Add(copyAge)))
	if s.trouble {
		s.store.goAway()
		s.note("the store is away")
		time.Sleep(awayFor)
		s.store.restore(copied)
		s.note("the store is back from a copy that is %d ms old", time.Since(copiedAt).Milliseconds())
	}
	backAt := time.Now()
	s.register(desk, "ready")
	time.Sleep(addedAfter)
	added := &entry{name: "front-4", ip: s.ip(), memoryMB: memoryLimitMB}
	if err := s.startEntry(added); err != nil {
		return false, err
	}
	late := 0
	for written := false; time.Since(backAt) < writtenAfter+3*time.Second; time.Sleep(100 * time.Millisecond) {
		if !written && time.Since(backAt) > writtenAfter {
			written = true
			s.writeConfiguration()
			s.note("the operator has written version %d again", s.version)
		}
		for _, e := range append(s.entries, added) {
			id := newID()
			text := strings.Replace(head(http.MethodPost, "/book/1", id, "", 2500, 0), apiKey, revokedKey, 1)
			sentAt := time.Now()
			status := sendRaw(e.addr(), text)
			ran := desk.ran(id)
			if status != 0 {
				s.note("%s: request %s with the key, sent %d ms after the acknowledgement: status %d, ran: %t", e.name, id, sentAt.Sub(ackedAt).Milliseconds(), status, ran)
			}
			if ran && sentAt.Sub(ackedAt) > revokeBound {
				late++
			}
		}
	}
	s.note("%d requests with the key ran that were sent later than %d ms after the acknowledgement, one breaks the rule", late, revokeBound.Milliseconds())
	return late > 0, nil
}
