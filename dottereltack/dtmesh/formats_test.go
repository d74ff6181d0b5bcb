package dtmesh

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// landings are the builds whose samples are kept, in order. testdata/messages holds the samples of sampleEnvelopes as each of
// them encodes them, by key and in hex.
var landings = []string{"63a836f", "0338ea2", "1d65baf", "e652a81", "41c460b", "026d409", "180fcdf"}

// thisBuild stands for what has been added since the last of them.
const thisBuild = "this build"

// additions are the fields, by kind of message, that a landing has added to the messages. A field "" is the whole message.
var additions = map[string]map[string][]string{
	"0338ea2": {"d": {"HeldDomainsMs"}, "r": {"Servers.Version"}, "c": {"Changed.Version"}},
	"1d65baf": {"sn": {""}},
	"e652a81": {"sn": {"Recorded", "Down", "Lost"}},
	"41c460b": {"d": {"SentAt"}},
	"026d409": {
		"d": {"Brittle", "Unreachable"}, "dl": {"Brittle"}, "fl": {"Brittle"}, "r": {"Mixes"}, "sn": {"Stored", "Mixes"},
		"nn": {""}, "tr": {""},
	},
	"180fcdf": {"d": {"Features"}},
	thisBuild: {"d": {"Rollouts", "CapacityNews", "LateLists"}, "l": {"Rollouts", "CapacityNews"}, "dl": {"Rollouts", "Table", "ListHash", "CapacityNews"}, "fl": {"Rollouts", "CapacityNews"}, "ft": {""}},
}

// readSamples returns the samples of a landing by key.
func readSamples(t *testing.T, landing string) map[string][]byte {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", "messages", landing+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	samples := map[string][]byte{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		key, text, _ := strings.Cut(lines.Text(), " ")
		if samples[key], err = hex.DecodeString(text); err != nil {
			t.Fatal(err)
		}
	}
	return samples
}

// clearField zeroes a field of v, which may be one of the elements of a list.
func clearField(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	name, rest, isNested := strings.Cut(path, ".")
	field := v.FieldByName(name)
	switch {
	case !field.IsValid():
		t.Fatalf("no field %s", path)
	case isNested:
		clearField(t, field.Index(0), rest)
	default:
		field.SetZero()
	}
}

// TestFieldOfAnEarlierBuildMisread guards against messages of a build that lacks a field which are not read, or in which
// the field has a meaning.
func TestFieldOfAnEarlierBuildMisread(t *testing.T) {
	for i, landing := range landings {
		t.Run(landing, func(t *testing.T) {
			g := NewWithT(t)
			want := sampleEnvelopes()
			for _, later := range append(slices.Clone(landings[i+1:]), thisBuild) {
				for key, fields := range additions[later] {
					for _, field := range fields {
						switch {
						case want[key] == nil:
						case field == "":
							delete(want, key)
						default:
							clearField(t, reflect.ValueOf(want[key].message()).Elem(), field)
						}
					}
				}
			}
			if landing == "63a836f" {
				want["r"].RosterReply.Servers[0].LacksVersion = true
				want["c"].RosterDelta.Changed[0].LacksVersion = true
			}
			samples := readSamples(t, landing)
			g.Expect(slices.Sorted(maps.Keys(samples))).To(Equal(slices.Sorted(maps.Keys(want))))
			for key, body := range samples {
				got, err := decode(body)
				g.Expect(err).NotTo(HaveOccurred(), key)
				g.Expect(got).To(Equal(want[key]), key)
			}
		})
	}
}

// decodeUntyped returns what a body holds as maps, arrays and values.
func decodeUntyped(t *testing.T, body []byte) any {
	t.Helper()
	d := msgpack.NewDecoder(bytes.NewReader(body))
	d.SetMapDecoder(func(d *msgpack.Decoder) (any, error) { return d.DecodeUntypedMap() })
	value, err := d.DecodeInterface()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// lengthen adds a field to an array at path within a message, whose steps are keys of maps and indexes of arrays.
func lengthen(t *testing.T, v any, path ...any) any {
	t.Helper()
	if len(path) == 0 {
		list, ok := v.([]any)
		if !ok {
			t.Fatalf("%T is no array", v)
		}
		return append(list, map[string]any{"later": []int{1, 2}})
	}
	switch v := v.(type) {
	case map[any]any:
		v[path[0]] = lengthen(t, v[path[0]], path[1:]...)
	case []any:
		i, _ := path[0].(int)
		v[i] = lengthen(t, v[i], path[1:]...)
	default:
		t.Fatalf("%T has no %v", v, path[0])
	}
	return v
}

// TestFieldOfALaterBuildRefused guards against messages of a later build that are not read because an array has become longer.
func TestFieldOfALaterBuildRefused(t *testing.T) {
	for _, path := range [][]any{
		{"r", "s", 0},
		{"c", "c", 0},
		{"d", "cr", "r", 0},
		{"d", "rl", 0},
		{"d", "rl", 0, 1},
		{"d", "bs", 0},
		{"d", "bs", 0, 1},
		{"dl", "rl", 0},
		{"fl", "bs", 0},
	} {
		g := NewWithT(t)
		key, _ := path[0].(string)
		sample := sampleEnvelopes()[key]
		body, err := encode(sample.message())
		g.Expect(err).NotTo(HaveOccurred())
		longer, err := msgpack.Marshal(lengthen(t, decodeUntyped(t, body), path...))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(longer)).To(BeNumerically(">", len(body)))
		got, err := decode(longer)
		g.Expect(err).NotTo(HaveOccurred(), "%v", path)
		g.Expect(got).To(Equal(sample), "%v", path)
	}
}

// TestShortArrayTakenForEmptyFields guards against fields that are taken for empty because the array that holds them is too short.
func TestShortArrayTakenForEmptyFields(t *testing.T) {
	g := NewWithT(t)
	for n := range serverFieldsBeforeVersion {
		body, err := msgpack.Marshal(map[string]any{"r": map[string]any{"s": []any{make([]any, n)}}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = decode(body)
		g.Expect(err).To(MatchError(ContainSubstring("Server has")), "%d fields", n)
	}
	body, err := msgpack.Marshal(map[string]any{"d": map[string]any{"rl": []any{[]any{1, []any{2.5, true}}}}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decode(body)
	g.Expect(err).To(MatchError(ContainSubstring("RateReport has 2 fields")))
	for _, server := range []dtdispatch.Server{{ID: "s1"}, {ID: "s1", Version: "v1"}} {
		body, err = encode(&dtdispatch.RosterReply{Servers: []dtdispatch.Server{server}})
		g.Expect(err).NotTo(HaveOccurred())
		got, err := decode(body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.RosterReply.Servers).To(ConsistOf(server))
	}
}

// keeps reports whether a value that this build sends still has all that an earlier one sent: maps may have further keys, arrays and
// all else are the same.
func keeps(now, earlier any) bool {
	switch earlier := earlier.(type) {
	case map[any]any:
		now, ok := now.(map[any]any)
		for key, value := range earlier {
			if !ok || !keeps(now[key], value) {
				return false
			}
		}
		return ok
	case []any:
		now, ok := now.([]any)
		return ok && slices.EqualFunc(now, earlier, keeps)
	}
	return reflect.DeepEqual(now, earlier)
}

// TestChangedFormatOfTheLastLanding guards against messages that the build which is to be replaced can't read, or takes for
// something else. See "Changes of a format" in PROTOCOL.md.
func TestChangedFormatOfTheLastLanding(t *testing.T) {
	g := NewWithT(t)
	last := landings[len(landings)-1]
	samples := sampleEnvelopes()
	for key, body := range readSamples(t, last) {
		g.Expect(samples).To(HaveKey(key), "%s sends it", last)
		now, err := msgpack.Marshal(samples[key])
		g.Expect(err).NotTo(HaveOccurred())
		if !keeps(decodeUntyped(t, now), decodeUntyped(t, body)) {
			t.Errorf("message %s: %s sends\n%x\nand this build\n%x", key, last, body, now)
		}
	}
}

// TestLongerArraysNoticed checks keeps, by which TestChangedFormatOfTheLastLanding finds changed formats.
func TestLongerArraysNoticed(t *testing.T) {
	g := NewWithT(t)
	earlier := map[any]any{"s": []any{[]any{"s1", int8(4)}}, "r": int8(1)}
	g.Expect(keeps(map[any]any{"s": []any{[]any{"s1", int8(4)}}, "r": int8(1), "new": true}, earlier)).To(BeTrue())
	for name, now := range map[string]any{
		"longer array":  map[any]any{"s": []any{[]any{"s1", int8(4), true}}, "r": int8(1)},
		"shorter array": map[any]any{"s": []any{[]any{"s1"}}, "r": int8(1)},
		"missing key":   map[any]any{"s": []any{[]any{"s1", int8(4)}}},
		"other meaning": map[any]any{"s": []any{[]any{"s1", int8(5)}}, "r": int8(1)},
		"other type":    map[any]any{"s": []any{[]any{"s1", "4"}}, "r": int8(1)},
		"no map":        []any{},
	} {
		g.Expect(keeps(now, earlier)).To(BeFalse(), name)
	}
}
