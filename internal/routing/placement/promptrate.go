package placement

const (
	// promptRateWeight is the weight of the newest prompt in the moving average.
	promptRateWeight = 0.05
	// assumedMillisPerToken is the average that is assumed at first.
	assumedMillisPerToken = 0.14
)

// promptRate is the average time in which a busy engine processes a prompt token. The
// zero value is ready to use.
type promptRate struct {
	// average is zero before the first prompt.
	average float64
}

// add adds the time to the first event after a prompt that no other one delayed.
func (p *promptRate) add(millis int64, tokens int) {
	p.average = p.millisPerToken() + promptRateWeight*(float64(millis)/float64(tokens)-p.millisPerToken())
}

func (p *promptRate) millisPerToken() float64 {
	if p.average == 0 {
		return assumedMillisPerToken
	}
	return p.average
}
