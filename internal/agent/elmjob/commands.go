package elmjob

import "github.com/elmcove/elmcove/internal/wire/elmwire"

// Command is an effect that the runtime carries out for a Job.
type Command interface{ command() }

type (
	// Swap asks to write a claim record if the present version is Version.
	Swap struct {
		Key     string
		Version int64
		Tally   *elmwire.Tally
	}
	// Run passes the request to the endpoint.
	Run struct{}
	// Stop cancels the request at the endpoint.
	Stop struct{}
	// End sends the last frame of a whole answer.
	End struct{}
	// Refuse ends the job without a whole answer.
	Refuse struct{ Refusal *elmwire.Refusal }
)

func (Swap) command()   {}
func (Run) command()    {}
func (Stop) command()   {}
func (End) command()    {}
func (Refuse) command() {}
