package reply

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// DecodeBytes decodes one JSON value into v. It refuses unknown fields and data after the value.
func DecodeBytes(body []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the body is not valid: %s", describeJSONError(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the body has data after its JSON value")
	}
	return nil
}

// describeJSONError returns the message for an error of encoding/json. It names the field if the
// error does.
func describeJSONError(err error) string {
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return "field " + wrongType.Field + " must be a " + wrongType.Type.String() + ", not a " + wrongType.Value
	case errors.Is(err, io.EOF):
		return "it is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "it ends too early"
	default:
		return err.Error()
	}
}
