package jsonstream

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// split feeds a stream in pieces of the given size and returns the objects, and the error that ended it.
func split(stream string, size int) (objects []string, err error) {
	var s Splitter
	for rest := []byte(stream); len(rest) > 0 && err == nil; rest = rest[min(size, len(rest)):] {
		err = s.Feed(rest[:min(size, len(rest))], func(object []byte) error {
			objects = append(objects, string(object))
			return nil
		})
	}
	return objects, err
}

func TestObjectsEndWithTheirLastBracketWhereverLinesEnd(t *testing.T) {
	const nested = `{"a":[{"b":"}\"{\\"},[],{},-1.5e+3,null],"c":{"d":true}}`
	for name, stream := range map[string]string{
		"one a line":       nested + "\n" + nested + "\n",
		"indented":         indent(nested, "  ") + "\n\n" + indent(nested, "\t") + "\n",
		"carriage returns": strings.ReplaceAll(indent(nested, " ")+"\n"+nested, "\n", "\r\n"),
		"two on a line":    nested + nested,
		"line by token":    strings.NewReplacer(",", "\n,\n", ":", "\n:\n").Replace(nested) + nested,
	} {
		for size := 1; size <= len(stream); size++ {
			got, err := split(stream, size)
			require.NoError(t, err, name)
			require.Equal(t, []string{nested, nested}, got, name)
		}
	}
}

func indent(object, by string) string {
	var out bytes.Buffer
	if json.Indent(&out, []byte(object), "", by) != nil {
		panic("invalid JSON: " + object)
	}
	return out.String()
}

// Guards against a stream that is deaf for good: what follows an object that was cut off must not be taken for its rest.
func TestObjectThatWasCutOffIsReportedAtTheNextOne(t *testing.T) {
	const object = `{"a":[{"b":"c","d":1},2],"e":null}`
	for cut := 1; cut < len(object); cut++ {
		_, err := split(object[:cut]+"\n"+object+"\n"+object+"\n", 1)
		var syntax *SyntaxError
		require.ErrorAs(t, err, &syntax, object[:cut])
	}
}

func TestReceivedCountsNoWhiteSpaceBetweenTokens(t *testing.T) {
	var s Splitter
	for _, step := range []struct {
		bytes, partial string
		received       int
	}{
		{"\n", "", 0},
		{`{"a":`, `{"a":`, 5},
		{"\n", `{"a":`, 5},
		{"1", `{"a":1`, 6},
		{"\r\n  ", `{"a":1`, 6},
		{"}{", "{", 8},
		{"}\n", "", 9},
	} {
		require.NoError(t, s.Feed([]byte(step.bytes), func([]byte) error { return nil }))
		assert.Equal(t, step.partial, string(s.Partial()), "%q", step.bytes)
		assert.Equal(t, step.partial != "", s.Within(), "%q", step.bytes)
		assert.Equal(t, step.received, s.Received(), "%q", step.bytes)
	}
}

func TestMemoryIsBoundedWithAndWithoutWhiteSpace(t *testing.T) {
	s := Splitter{MaxBytes: 9}
	count := 0
	feed := func(p string) error { return s.Feed([]byte(p), func([]byte) error { count++; return nil }) }
	require.NoError(t, feed(`{"a":123}`+`{ "a" : `+strings.Repeat(" ", 99)+`123 }`), "white space between tokens is not kept")
	assert.Equal(t, 2, count)
	var size *SizeError
	require.ErrorAs(t, feed(`{"a":1234}`), &size)
	assert.Equal(t, 9, size.MaxBytes)
	assert.LessOrEqual(t, len(s.object), 9)
}

// FuzzSplitter compares the objects with those that encoding/json reads from the same stream.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"\"}"}],"c":null}`+"\n\n"+`{ "d" : true }`), 1)
	f.Add([]byte(`{"a":[}{"a"`), 3)
	f.Add([]byte("{}{}\r\n{\"a\":\"\n\"}"), 2)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		if size < 1 {
			size = len(stream) + 1
		}
		got, err := split(string(stream), size)
		decoder := json.NewDecoder(bytes.NewReader(stream))
		for _, object := range got {
			var want json.RawMessage
			if decoder.Decode(&want) != nil {
				require.False(t, json.Valid([]byte(object)), "encoding/json reads no such object: %s", object)
				return // the splitter leaves names, numbers and strings to the decoder
			}
			var compact bytes.Buffer
			require.NoError(t, json.Compact(&compact, want))
			require.Equal(t, compact.String(), object)
		}
		var more json.RawMessage
		if rest := decoder.Decode(&more); rest == nil {
			require.Error(t, err, "encoding/json reads one more object: %s", more)
			require.NotEqual(t, byte('{'), more[0], "a value that is no object")
		}
	})
}
