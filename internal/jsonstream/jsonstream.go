// Package jsonstream splits a stream of bytes into JSON objects. An object ends with its last bracket, wherever the stream has line
// ends or white space. The splitter is incremental: it is fed bytes and does not access sockets.
package jsonstream

import "cmp"

// Splitter splits one stream. It checks the order of an object's tokens as the bytes arrive, so that an object that was cut off is
// reported with the first byte of the next one. Strings, numbers and names are left to the decoder of the object.
type Splitter struct {
	MaxBytes int // limit of an object's size, not counting white space between tokens; 0 is DefaultMaxBytes

	object   []byte // present object, without the white space between tokens
	open     []byte // opening brackets of the present object that are not closed
	expected token
	inKey    bool // the present string is the key of a member
	escaped  bool // the previous byte of the present string is a backslash
	received int  // bytes of all objects so far, not counting white space between tokens
}

// token is what a splitter expects next.
type token uint8

const (
	objectStart token = iota // the first bracket of an object, between two objects
	keyOrEnd                 // the first key of an object, or its end
	key                      // a further key
	colon                    // the colon between a key and its value
	value                    // a value
	valueOrEnd               // the first value of an array, or its end
	commaOrEnd               // what follows a value
	stringRest               // the rest of a string
	literalRest              // the rest of a number, or of true, false or null
)

// DefaultMaxBytes is enough for a fleet list of about 20,000 backends.
const DefaultMaxBytes = 4 << 20

const firstPrintable = ' ' // lower bytes must be escaped in strings

// Within reports whether the stream is within an object.
func (s *Splitter) Within() bool { return len(s.object) > 0 }

// Partial returns the part of the present object that has been received, valid until the next call of Feed.
func (s *Splitter) Partial() []byte { return s.object }

// Received returns the number of bytes of all objects so far, not counting white space between tokens.
func (s *Splitter) Received() int { return s.received }

// Feed consumes bytes and calls out with each object that ends in them, without the white space between its tokens. The object is
// valid during the call. After an error the stream cannot be split any further.
func (s *Splitter) Feed(p []byte, out func(object []byte) error) error {
	maxBytes := cmp.Or(s.MaxBytes, DefaultMaxBytes)
	for _, b := range p {
		if isSpace(b) && s.expected != stringRest {
			s.endLiteral()
			continue
		}
		next, ok := s.next(b)
		if !ok {
			return &SyntaxError{Offset: len(s.object), Byte: b}
		}
		if len(s.object) == maxBytes {
			return &SizeError{maxBytes}
		}
		s.expected = next
		s.received++
		if s.object = append(s.object, b); next != objectStart {
			continue
		}
		if err := out(s.object); err != nil {
			return err
		}
		s.object = s.object[:0]
	}
	return nil
}

// next returns what is expected after a byte, and whether the byte is allowed.
func (s *Splitter) next(b byte) (then token, ok bool) {
	if s.expected == literalRest && !isLiteral(b) {
		s.endLiteral()
	}
	switch s.expected {
	case objectStart:
		return s.bracketOpened(b), b == '{'
	case stringRest:
		return s.nextInString(b), b >= firstPrintable
	case literalRest:
		return literalRest, true
	case colon:
		return value, b == ':'
	case commaOrEnd:
		if b == ',' {
			return s.afterComma(), true
		}
		return s.bracketClosed(b)
	case key, keyOrEnd:
		if b == '"' {
			s.inKey = true
			return stringRest, true
		}
		if s.expected == keyOrEnd {
			return s.bracketClosed(b)
		}
		return 0, false
	}
	return s.nextInValue(b) // value, valueOrEnd
}

// nextInValue returns what is expected after the first byte of a value, or after the end of an empty array.
func (s *Splitter) nextInValue(b byte) (then token, ok bool) {
	switch {
	case b == '{' || b == '[':
		return s.bracketOpened(b), true
	case b == '"':
		s.inKey = false
		return stringRest, true
	case isLiteral(b):
		return literalRest, true
	case s.expected == valueOrEnd:
		return s.bracketClosed(b)
	}
	return 0, false
}

// nextInString returns what is expected after a byte of a string.
func (s *Splitter) nextInString(b byte) token {
	switch {
	case s.escaped:
		s.escaped = false
	case b == '\\':
		s.escaped = true
	case b == '"' && s.inKey:
		return colon
	case b == '"':
		return commaOrEnd
	}
	return stringRest
}

// bracketOpened records an opening bracket and returns what is expected after it.
func (s *Splitter) bracketOpened(b byte) token {
	s.open = append(s.open, b)
	if b == '{' {
		return keyOrEnd
	}
	return valueOrEnd
}

// bracketClosed removes the opening bracket that b closes and returns what is expected after it. It reports whether b closes the
// innermost bracket.
func (s *Splitter) bracketClosed(b byte) (then token, ok bool) {
	last := len(s.open) - 1
	if opening := s.open[last]; b == '}' && opening != '{' || b == ']' && opening != '[' || b != '}' && b != ']' {
		return 0, false
	}
	s.open = s.open[:last]
	if last == 0 {
		return objectStart, true
	}
	return commaOrEnd, true
}

// afterComma returns what is expected after a comma.
func (s *Splitter) afterComma() token {
	if s.open[len(s.open)-1] == '{' {
		return key
	}
	return value
}

// endLiteral ends the present number or name, if there is one.
func (s *Splitter) endLiteral() {
	if s.expected == literalRest {
		s.expected = commaOrEnd
	}
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// isLiteral reports whether b may be part of a number, or of true, false or null.
func isLiteral(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '-' || b == '+' || b == '.'
}
