package dtmesh

import (
	"reflect"
	"strings"
	"time"
)

// sampleEnvelopes returns, by key, an envelope with each kind of message in which all fields that are sent are set. A field has
// the same value whatever other fields there are.
func sampleEnvelopes() map[string]*envelope {
	envelopes := map[string]*envelope{}
	for i := range reflect.TypeFor[envelope]().NumField() {
		field := reflect.TypeFor[envelope]().Field(i)
		e := &envelope{}
		fill(reflect.ValueOf(e).Elem().Field(i), field.Name)
		envelopes[fieldKey(field)] = e
	}
	return envelopes
}

// fieldKey returns the key under which a field is sent, or "-".
func fieldKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("msgpack"), ",")
	return key
}

// fill sets v, which is the field name or an element of it.
func fill(v reflect.Value, name string) {
	number := 0
	for _, c := range name {
		number = (number*31 + int(c)) % 100
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), name)
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(1_700_000_000, 0)))
			return
		}
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && fieldKey(field) != "-" {
				fill(v.Field(i), field.Name)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), name)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, name)
		fill(value, name)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(strings.ToLower(name))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number) + 1)
	default:
		v.SetInt(int64(number) + 1)
	}
}
