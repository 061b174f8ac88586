package elmjob

import "github.com/elmcove/elmcove/internal/wire/elmwire"

// Command is a side effect that the runtime executes for a Job.
type Command interface{ command() }

type (
	// Swap writes a claim record if the key's current version is Version.
	Swap struct {
		Key     string
		Version int64
		Tally   *elmwire.Tally
	}
	// Run sends the request to the endpoint.
	Run struct{}
	// End sends the last frame of a complete response.
	End struct{}
	// Refuse ends the job without a complete response.
	Refuse struct{ Refusal *elmwire.Refusal }
)

func (Swap) command()   {}
func (Run) command()    {}
func (End) command()    {}
func (Refuse) command() {}
