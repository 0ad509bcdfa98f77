package record

import "encoding/json"

// Text is a record exactly as its operator wrote it. In JSON it is a string:
// written as an object, encoders would drop its spaces and line ends.
type Text string

// MarshalJSON writes the text as a string.
func (t Text) MarshalJSON() ([]byte, error) { return json.Marshal(string(t)) }

// UnmarshalJSON reads a string, or takes any other value as it stands, so that
// operators who write requests by hand may put the record there itself.
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
