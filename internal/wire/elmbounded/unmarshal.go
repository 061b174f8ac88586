package elmbounded

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// ErrTooManyFields reports a message with more fields than its limit.
var ErrTooManyFields = errors.New("message has too many fields")

// Unmarshal decodes a protobuf message of at most maxFields fields, of which repeated ones
// count each time. An empty message of two bytes takes about 40 times its size when decoded.
func Unmarshal(document []byte, message proto.Message, maxFields int) error {
	rest := document
	for n := 0; len(rest) > 0; n++ {
		if n == maxFields {
			return fmt.Errorf("%w: limit is %d", ErrTooManyFields, maxFields)
		}
		_, _, size := protowire.ConsumeField(rest)
		if size < 0 {
			return fmt.Errorf("decode message: %w", protowire.ParseError(size))
		}
		rest = rest[size:]
	}
	if err := proto.Unmarshal(document, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
