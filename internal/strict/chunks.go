package strict

import "net/http"

// chunkSize checks the first digit of a chunk size.
func chunkSize(p *parser, b byte) (step, error) {
	p.chunkBytes = 0
	if _, ok := hexDigit(b); !ok {
		return nil, invalid("chunk size begins with %q", b)
	}
	return moreChunkSize(p, b)
}

// maxChunkBytes is the largest chunk to which a further digit can be added.
const maxChunkBytes = 1 << 58

func moreChunkSize(p *parser, b byte) (step, error) {
	digit, ok := hexDigit(b)
	switch {
	case !ok:
		return afterExtension(p, b)
	case p.chunkBytes > maxChunkBytes:
		return nil, invalid("chunk size is too large")
	}
	p.chunkBytes = p.chunkBytes<<4 | digit
	return moreChunkSize, nil
}

// afterExtension checks the byte after a chunk size or a chunk extension.
func afterExtension(_ *parser, b byte) (step, error) {
	switch b {
	case '\r':
		return endOfChunkSize, nil
	case ';':
		return extensionName, nil
	case ' ', '\t':
		return nextExtension, nil
	}
	return nil, invalid("byte %q after a chunk size", b)
}

// nextExtension checks a byte of white space before a chunk extension.
func nextExtension(_ *parser, b byte) (step, error) {
	switch b {
	case ';':
		return extensionName, nil
	case ' ', '\t':
		return nextExtension, nil
	}
	return nil, invalid("byte %q before a chunk extension", b)
}

// extensionName checks the first byte of the name of an extension and the white space before it.
func extensionName(_ *parser, b byte) (step, error) {
	switch {
	case isSpace(b):
		return extensionName, nil
	case isTokenByte(b):
		return moreExtensionName, nil
	}
	return nil, invalid("name of a chunk extension begins with %q", b)
}

func moreExtensionName(p *parser, b byte) (step, error) {
	switch {
	case b == '=':
		return extensionValue, nil
	case isSpace(b):
		return afterExtensionName, nil
	case isTokenByte(b):
		return moreExtensionName, nil
	}
	return afterExtension(p, b)
}

// afterExtensionName checks the white space after the name of an extension.
func afterExtensionName(p *parser, b byte) (step, error) {
	switch b {
	case '=':
		return extensionValue, nil
	case ' ', '\t':
		return afterExtensionName, nil
	}
	return nextExtension(p, b)
}

// extensionValue checks the first byte of the value of an extension and the white space before it.
func extensionValue(_ *parser, b byte) (step, error) {
	switch {
	case isSpace(b):
		return extensionValue, nil
	case b == '"':
		return quotedValue, nil
	case isTokenByte(b):
		return moreExtensionValue, nil
	}
	return nil, invalid("value of a chunk extension begins with %q", b)
}

func moreExtensionValue(p *parser, b byte) (step, error) {
	if isTokenByte(b) {
		return moreExtensionValue, nil
	}
	return afterExtension(p, b)
}

func quotedValue(_ *parser, b byte) (step, error) {
	switch {
	case b == '"':
		return afterExtension, nil
	case b == '\\':
		return escapedByte, nil
	case isText(b):
		return quotedValue, nil
	}
	return nil, invalid("byte %q in the value of a chunk extension", b)
}

func escapedByte(_ *parser, b byte) (step, error) {
	if !isText(b) {
		return nil, invalid("byte %q in the value of a chunk extension", b)
	}
	return quotedValue, nil
}

func endOfChunkSize(p *parser, b byte) (step, error) {
	switch {
	case b != '\n':
		return nil, invalid("line of a chunk size ends with %q", b)
	case p.chunkBytes == 0:
		p.inTrailer = true
		return fieldLine, nil
	case p.status == http.StatusResetContent:
		return nil, invalid("content after status %d", p.status)
	}
	p.content = p.chunkBytes
	return endOfChunk, nil
}

func endOfChunk(_ *parser, b byte) (step, error) {
	if b != '\r' {
		return nil, invalid("byte %q after a chunk", b)
	}
	return afterChunk, nil
}

func afterChunk(_ *parser, b byte) (step, error) {
	if b != '\n' {
		return nil, invalid("chunk ends with %q", b)
	}
	return chunkSize, nil
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case isDigit(b):
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
