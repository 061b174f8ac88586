// Command decide shows the state machine of one request, without clock or network:
// the first agent has no free capacity, the second one answers.
package main

import (
	"fmt"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

func main() {
	request := elmrequest.New("r1", elmrequest.Idempotent)
	messages := []elmrequest.Message{
		elmrequest.Start{},
		elmrequest.Placed{Agent: "draft-1"},
		elmrequest.Refused{Attempt: "r1/1", Refusal: &elmwire.Refusal{Reason: elmwire.Reason_REASON_CAPACITY, Unrun: true}},
		elmrequest.Placed{Agent: "draft-2"},
		elmrequest.Headed{Attempt: "r1/2", Status: 200},
		elmrequest.Ended{Attempt: "r1/2"},
	}
	for _, m := range messages {
		next, commands := request.Update(m)
		fmt.Printf("%s: %T, so %s\n", request.State(), m, next.State())
		for _, c := range commands {
			fmt.Printf("    command %T\n", c)
		}
		request = next
	}
}
