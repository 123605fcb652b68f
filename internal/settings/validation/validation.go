package validation

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// sharedValidator returns the validator of this package. It is shared because it
// caches the parsed tags of each type.
var sharedValidator = sync.OnceValue(newValidator)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("ipport", isIPPort); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "register the ipport check"))
	}
	return v
}

// isIPPort reports whether a field holds an IP address and a port other than 0.
func isIPPort(fl validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil && address.Port() != 0
}

// Validate checks a struct against its validate tags and records a fault for each
// violation.
func (r *Report) Validate(value any) {
	err := sharedValidator().Struct(value)
	if err == nil {
		return
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		r.Add("", errors.Wrap(err, "validate").Error())
		return
	}
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.Namespace(), ".")
		r.Add(path, violationText(violation))
	}
}

func violationText(violation validator.FieldError) string {
	param := violation.Param()
	switch violation.Tag() {
	case "required":
		return "a value is required"
	case "required_if":
		return "a value is required with " + conditionText(param)
	case "excluded_if", "excluded_unless":
		return "must be absent for this Kind"
	case "oneof":
		return fmt.Sprintf("expected one of %s, found %q", param, violation.Value())
	case "ipport":
		return fmt.Sprintf("expected an IP address and a port, found %q", violation.Value())
	case "min":
		return limitText("at least", violation)
	case "max":
		return limitText("at most", violation)
	case "gt":
		return fmt.Sprintf("must be greater than %s, found %v", param, violation.Value())
	case "gtfield":
		return fmt.Sprintf("must be greater than %s, found %v", param, violation.Value())
	case "startswith":
		return fmt.Sprintf("must start with %q, found %q", param, violation.Value())
	default:
		return fmt.Sprintf("fails the check %s %s, found %v", violation.Tag(), param, violation.Value())
	}
}

// conditionText formats a condition of the validator: "Kind Engine" becomes
// "Kind = Engine".
func conditionText(param string) string {
	return strings.Replace(param, " ", " = ", 1)
}

// limitText returns the text for a violated limit of a number, or of the size of
// a list or string.
func limitText(relation string, violation validator.FieldError) string {
	switch violation.Kind() {
	case reflect.Slice:
		return fmt.Sprintf("must have %s %s items", relation, violation.Param())
	case reflect.String:
		return fmt.Sprintf("must have %s %s characters", relation, violation.Param())
	default:
		return fmt.Sprintf("must be %s %s, found %v", relation, violation.Param(), violation.Value())
	}
}
