package claims

import (
	"encoding/binary"
	"errors"
)

// Kind is the type of a record.
type Kind byte

// Kinds of records.
const (
	// KindClaim records that an attempt holds the key.
	KindClaim Kind = iota + 1
	// KindOutcome stores the response of the attempt.
	KindOutcome
	// KindFree records that the attempt did not run.
	KindFree
	// KindUnknown records that the attempt may have run and its response is lost.
	KindUnknown

	// KindLookup requests the state of a key; it is never written to a row.
	KindLookup Kind = 100
)

// Field is one header field of a stored response.
type Field struct{ Name, Value string }

// Outcome is a stored response. Object names the object that holds a large body.
type Outcome struct {
	Status int
	Fields []Field
	Body   []byte
	Object string
}

// Record is one log entry. At and Until are Unix times in ms.
type Record struct {
	Kind                 Kind
	Key, Digest, Attempt uint64
	At, Until            int64
	Outcome              Outcome
}

const rowFormat = 1

var errMalformedRow = errors.New("malformed claim row or index segment")

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendRecord(b []byte, r *Record) []byte {
	b = append(b, byte(r.Kind))
	b = binary.BigEndian.AppendUint64(b, r.Key)
	b = binary.BigEndian.AppendUint64(b, r.Attempt)
	b = binary.AppendUvarint(b, uint64(r.At))
	switch r.Kind {
	case KindClaim:
		b = binary.BigEndian.AppendUint64(b, r.Digest)
		b = binary.AppendUvarint(b, uint64(r.Until))
	case KindOutcome:
		b = binary.AppendUvarint(b, uint64(r.Outcome.Status))
		b = binary.AppendUvarint(b, uint64(len(r.Outcome.Fields)))
		for _, f := range r.Outcome.Fields {
			b = appendString(appendString(b, f.Name), f.Value)
		}
		b = appendString(b, r.Outcome.Object)
		b = appendString(b, string(r.Outcome.Body))
	}
	return b
}

// EncodeRow encodes the records of one row.
func EncodeRow(rs []Record) []byte {
	b := []byte{rowFormat}
	for i := range rs {
		b = appendRecord(b, &rs[i])
	}
	return b
}

// decoder reads fields. After the first error, all reads return zero values.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) take(n uint64) []byte {
	if d.err != nil || n > uint64(len(d.b)) {
		d.err = errMalformedRow
		return nil
	}
	out := d.b[:n]
	d.b = d.b[n:]
	return out
}

func (d *decoder) u64() uint64 {
	if b := d.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.err = errMalformedRow
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) str() string { return string(d.take(d.uvarint())) }

// DecodeRow decodes the records of one row.
func DecodeRow(b []byte) ([]Record, error) {
	d := &decoder{b: b}
	if f := d.take(1); f == nil || f[0] != rowFormat {
		return nil, errMalformedRow
	}
	var rs []Record
	for len(d.b) > 0 && d.err == nil {
		r := Record{Kind: Kind(d.take(1)[0]), Key: d.u64(), Attempt: d.u64(), At: int64(d.uvarint())}
		switch r.Kind {
		case KindClaim:
			r.Digest, r.Until = d.u64(), int64(d.uvarint())
		case KindOutcome:
			d.outcome(&r.Outcome)
		case KindFree, KindUnknown:
		default:
			d.err = errMalformedRow
		}
		rs = append(rs, r)
	}
	return rs, d.err
}

func (d *decoder) outcome(o *Outcome) {
	o.Status = int(d.uvarint())
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.err = errMalformedRow
		return
	}
	for range n {
		o.Fields = append(o.Fields, Field{d.str(), d.str()})
	}
	o.Object = d.str()
	if body := d.take(d.uvarint()); len(body) > 0 {
		o.Body = append([]byte(nil), body...)
	}
}
