package elmframe_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/wire/elmframe"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// responseFrames returns the frames of a complete response.
func responseFrames(attempt string) []*elmwire.Frame {
	a := elmframe.New(attempt)
	return []*elmwire.Frame{
		a.Head(&elmwire.Head{Status: 200}),
		a.Data([]byte("cracked ")),
		a.Data([]byte("frame")),
		a.End(),
	}
}

func TestAssembler(t *testing.T) {
	complete := responseFrames("r1/1")
	other := responseFrames("r1/2")
	short := elmframe.New("r1/1")
	short.Head(&elmwire.Head{})
	short.Data([]byte("cracked "))
	tests := map[string]struct {
		frames []*elmwire.Frame
		want   error
	}{
		"whole":         {complete, nil},
		"crossed":       {[]*elmwire.Frame{complete[0], other[1]}, elmframe.ErrWrongAttempt},
		"missing":       {[]*elmwire.Frame{complete[0], complete[2]}, elmframe.ErrSequence},
		"duplicated":    {[]*elmwire.Frame{complete[0], complete[1], complete[1]}, elmframe.ErrSequence},
		"reordered":     {[]*elmwire.Frame{complete[0], complete[2], complete[1]}, elmframe.ErrSequence},
		"after the end": {append(append([]*elmwire.Frame{}, complete...), complete[0]), elmframe.ErrSequence},
		"wrong total":   {[]*elmwire.Frame{complete[0], complete[1], complete[2], renumber(short.End(), 3)}, elmframe.ErrCorrupted},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			a := elmframe.New("r1/1")
			var err error
			for _, f := range test.frames {
				if err = a.Accept(f); err != nil {
					break
				}
			}
			So(errors.Is(err, test.want), ShouldBeTrue)
		})
	}
}

// renumber sets the sequence number of a frame.
func renumber(f *elmwire.Frame, sequence uint64) *elmwire.Frame {
	f.Sequence = sequence
	return f
}
