package balancer

import (
	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// rulesOf returns the choice rules for the configured routing. The configured
// preferences scale the default rules; a preference with its default value leaves
// the rule unchanged.
func rulesOf(routing operatorfile.Routing) choice.Rules {
	rules := choice.DefaultRules()
	rules.Choices = routing.Choices
	rules.ZonePermille = scale(rules.ZonePermille, routing.ZonePreference, operatorfile.DefaultZonePreference)
	rules.PrefixPermille = scale(rules.PrefixPermille, routing.PrefixAffinity, operatorfile.DefaultPrefixAffinity)
	return rules
}

// scale multiplies value by the ratio of the configured preference to its default.
func scale(value int, configured, defaultPreference float64) int {
	return int(float64(value) * configured / defaultPreference)
}

// retryRulesOf returns the retry rules for the configured routing.
func retryRulesOf(routing operatorfile.Routing) retrybudget.Rules {
	rules := retrybudget.DefaultRules()
	rules.SuccessPermille = int(routing.RetryRatio * permille)
	rules.AttemptLimit = routing.MaxAttempts
	return rules
}
