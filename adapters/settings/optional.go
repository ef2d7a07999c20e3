package settings

import "strconv"

// OptionalNumber is a number that may be absent. TOML holds it as a number, or as a text that
// is a number or empty, so that a template can render a value that not every platform has.
type OptionalNumber struct {
	Value float64
	// Set is false if the number is absent.
	Set bool
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *OptionalNumber) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*n = OptionalNumber{}
		return nil
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return err
	}
	*n = OptionalNumber{v, true}
	return nil
}

// MarshalText implements encoding.TextMarshaler; UnmarshalText reads what it returns.
func (n OptionalNumber) MarshalText() ([]byte, error) {
	if !n.Set {
		return nil, nil
	}
	return strconv.AppendFloat(nil, n.Value, 'g', -1, 64), nil
}

// Or returns the number, or def if it is absent.
func (n OptionalNumber) Or(def float64) float64 {
	if !n.Set {
		return def
	}
	return n.Value
}
