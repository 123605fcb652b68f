package balancer

import (
	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// rulesOf scales the default rules by the configured routing intent, in which
// a preference of the default value stands for the default rule.
func rulesOf(routing operatorfile.Routing) choice.Rules {
	rules := choice.DefaultRules()
	rules.Choices = routing.Choices
	rules.ZonePermille = scale(rules.ZonePermille, routing.ZonePreference, operatorfile.DefaultZonePreference)
	rules.PrefixPermille = scale(rules.PrefixPermille, routing.PrefixAffinity, operatorfile.DefaultPrefixAffinity)
	return rules
}

func scale(value int, configured, usual float64) int {
	return int(float64(value) * configured / usual)
}

// retryRulesOf maps the configured retries.
func retryRulesOf(routing operatorfile.Routing) retrybudget.Rules {
	rules := retrybudget.DefaultRules()
	rules.SuccessPermille = int(routing.RetryRatio * permille)
	rules.AttemptLimit = routing.MaxAttempts
	return rules
}
