package dtmesh

import (
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// serverFieldsBeforeVersion is the number of fields of a server that builds send which know no software versions.
const serverFieldsBeforeVersion = 9

// The msgpack package refuses arrays of another length than the struct has fields.
func init() {
	server := newArrayDecoder(reflect.TypeFor[dtdispatch.Server](), serverFieldsBeforeVersion)
	msgpack.Register(dtdispatch.Server{}, nil, func(d *msgpack.Decoder, v reflect.Value) error {
		n, err := server.decode(d, v)
		if s, ok := v.Addr().Interface().(*dtdispatch.Server); ok {
			s.LacksVersion = n < len(server.fields)
		}
		return err
	})
	for _, value := range []any{
		dtdispatch.RateReport{}, dtdispatch.RateLimit{}, dtdispatch.BrittleReport{}, dtdispatch.Brittleness{}, dtdispatch.CrashReport{},
	} {
		a := newArrayDecoder(reflect.TypeOf(value), 0)
		msgpack.Register(value, nil, func(d *msgpack.Decoder, v reflect.Value) error {
			_, err := a.decode(d, v)
			return err
		})
	}
}

// arrayLengthError is returned for an array that is too short for its type.
type arrayLengthError struct {
	typeName    string
	length, min int
}

// Error implements error.
func (e *arrayLengthError) Error() string {
	return fmt.Sprintf("%s has %d fields, at least %d are needed", e.typeName, e.length, e.min)
}

// arrayDecoder decodes a struct that is encoded as an array without field names. Fields that a later build has added are skipped.
type arrayDecoder struct {
	name      string
	fields    []int // Indexes of the encoded fields.
	minFields int
}

// newArrayDecoder returns a decoder of arrays of at least minFields fields, or of all fields of t if minFields is zero.
func newArrayDecoder(t reflect.Type, minFields int) *arrayDecoder {
	a := &arrayDecoder{name: t.Name(), minFields: minFields}
	for i := range t.NumField() {
		if field := t.Field(i); field.IsExported() && field.Tag.Get("msgpack") != "-" {
			a.fields = append(a.fields, i)
		}
	}
	if minFields == 0 {
		a.minFields = len(a.fields)
	}
	return a
}

// decode decodes an array into v and returns its length.
func (a *arrayDecoder) decode(d *msgpack.Decoder, v reflect.Value) (int, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if n < a.minFields {
		return n, &arrayLengthError{typeName: a.name, length: n, min: a.minFields}
	}
	for i := range n {
		if i >= len(a.fields) {
			err = d.Skip()
		} else {
			err = d.DecodeValue(v.Field(a.fields[i]))
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
