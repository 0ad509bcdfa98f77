package record

import "encoding/json"

// Text is a record exactly as the operator wrote it. It is encoded as a JSON
// string, because encoders would drop the white space of an object.
type Text string

// MarshalJSON encodes the text as a JSON string.
func (t Text) MarshalJSON() ([]byte, error) { return json.Marshal(string(t)) }

// UnmarshalJSON decodes a string, or keeps any other value as it is, so that
// operators who write requests by hand may insert the record unquoted.
func (t *Text) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		var s string
		if err := json.Unmarshal(b, &s); err != nil {
			return err
		}
		*t = Text(s)
		return nil
	}
	*t = Text(b)
	return nil
}
