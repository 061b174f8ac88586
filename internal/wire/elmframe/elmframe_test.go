package elmframe_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/wire/elmframe"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// answer returns the frames of a whole answer.
func answer(attempt string) []*elmwire.Frame {
	a := elmframe.New(attempt)
	return []*elmwire.Frame{
		a.Head(&elmwire.Head{Status: 200}),
		a.Data([]byte("cracked ")),
		a.Data([]byte("frame")),
		a.End(),
	}
}

func TestAssembler(t *testing.T) {
	whole := answer("r1/1")
	other := answer("r1/2")
	short := elmframe.New("r1/1")
	short.Head(&elmwire.Head{})
	short.Data([]byte("cracked "))
	tests := map[string]struct {
		frames []*elmwire.Frame
		want   error
	}{
		"whole":                {whole, nil},
		"crossed":              {[]*elmwire.Frame{whole[0], other[1]}, elmframe.ErrCrossed},
		"missing":              {[]*elmwire.Frame{whole[0], whole[2]}, elmframe.ErrSequence},
		"duplicated":           {[]*elmwire.Frame{whole[0], whole[1], whole[1]}, elmframe.ErrSequence},
		"reordered":            {[]*elmwire.Frame{whole[0], whole[2], whole[1]}, elmframe.ErrSequence},
		"after the end":        {append(append([]*elmwire.Frame{}, whole...), whole[0]), elmframe.ErrSequence},
		"end of a shorter one": {[]*elmwire.Frame{whole[0], whole[1], whole[2], relabel(short.End(), 3)}, elmframe.ErrDamaged},
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

func relabel(f *elmwire.Frame, sequence uint64) *elmwire.Frame {
	f.Sequence = sequence
	return f
}
