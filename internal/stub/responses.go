package stub

import (
	"slices"
	"strconv"
	"strings"
)

// fieldsPlaceholder stands for the field lines that the protocol of the reader demands.
const fieldsPlaceholder = "{fields}"

// ResponseCase is the response to a GET request, after which the upstream closes the connection in order.
type ResponseCase struct {
	Name string
	// response contains fieldsPlaceholder unless it has no header section.
	response string
	// Body is the body of a valid response.
	Body string
}

// Bytes returns the response with the given field lines, each of which ends with CRLF.
func (c ResponseCase) Bytes(fields string) string {
	return strings.ReplaceAll(c.response, fieldsPlaceholder, fields)
}

const (
	okHead      = "HTTP/1.1 200 OK\r\n{fields}"
	okBody      = "Content-Length: 2\r\n\r\nok"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	okChunks    = "2\r\nok\r\n0\r\n\r\n"
)

// casesOf returns a case for each part of a response that differs between them.
func casesOf(group, before, after string, parts ...string) []ResponseCase {
	var cases []ResponseCase
	for _, part := range parts {
		cases = append(cases, ResponseCase{Name: group + " " + strconv.Quote(part), response: before + part + after})
	}
	return cases
}

// InvalidResponses returns responses that RFC 9110 and 9112 do not allow an upstream to send, or that end early.
func InvalidResponses() []ResponseCase {
	return slices.Concat(invalidHeads(), invalidFraming(), invalidChunks())
}

func invalidHeads() []ResponseCase {
	return slices.Concat(
		casesOf("status line", "", "\r\n{fields}"+okBody,
			"HTTP/1.1 000 OK", "HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
			"HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
			"HTTP/1.1 200", "HTTP/1.1 200OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK",
			"\r\nHTTP/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK",
			"HTTP/1.x 200 OK", "ICY 200 OK", "200 OK", "HTTP/1.1", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K",
			"HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 101 Switching Protocols"),
		casesOf("field line", okHead, "\r\n"+okBody,
			"X Blank: 1", "X-Blank : 1", "X\tTab: 1", "X-Tab\t: 1", "X\x00Nul: 1", "X\x01Control: 1", "X\x7fDel: 1", "X\x80Byte: 1",
			"X(Paren: 1", "X/Slash: 1", "X@At: 1", "X\"Quote: 1", "X[Bracket: 1", ": 1", "X-No-Colon", " X-Indented: 1",
			"X-Folded: 1\r\n 2", "X-Folded: 1\r\n\t2", "X-Nul: \x00", "X-Control: 1\x012", "X-Escape: \x1b[1m", "X-Del: \x7f",
			"X-Return: 1\r2", "X-Feed: 1\nX-Other: 2", "Content-Length : 2", "Transfer-Encoding : chunked", "Connection : close"),
		casesOf("field line without a length", okHead, "\r\n\r\n"+okChunks,
			"Transfer-Encoding : chunked", "Transfer Encoding: chunked", "Transfer-Encoding\t: chunked", "Content-Length : 2",
			"Transfer-Encoding: \x0bchunked"),
		casesOf("line end", "", "",
			"HTTP/1.1 200 OK\n{fields}"+okBody, okHead+"Content-Length: 2\n\r\nok", okHead+"Content-Length: 2\r\n\nok"),
		casesOf("head", "", "",
			"", "ok", "\r\n\r\n", "<html>ok</html>", "HTTP/1.1 200 OK", okHead, okHead+"X-Cut",
			"HTTP/1.1 103 Early Hints\r\nX Blank: 1\r\n\r\n"+okHead+okBody),
	)
}

func invalidFraming() []ResponseCase {
	return slices.Concat(
		casesOf("Transfer-Encoding", okHead+"Transfer-Encoding:", "\r\n\r\n"+okChunks,
			"", " gzip", " gzip, chunked", " chunked, gzip", " chunked, chunked", " xchunked", " chunked;q=1", " identity",
			" ,chunked",
			" chunked\r\nTransfer-Encoding: chunked", " chunked\r\nTransfer-Encoding: identity",
			" chunked\r\nContent-Length: 2", " chunked\r\nContent-Length: 12"),
		casesOf("Content-Length", okHead+"Content-Length:", "\r\n\r\nok",
			"", " +2", " -2", " 2a", " 0x2", " 2 2", " 2.0", " 2,2", " 2, 3", " two", " 18446744073709551618",
			" 99999999999999999999", " 2"+strings.Repeat(" ", 70)+"2",
			" 2\r\nContent-Length: 2", " 2\r\nContent-Length: 3", " 2\r\ncontent-length: 1", " 3",
			" 2\r\nTransfer-Encoding: chunked"),
		casesOf("HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n", "",
			"\r\n"+okChunks, okBody),
		casesOf("status without content", "HTTP/1.1 ", "",
			"204 No Content\r\n{fields}"+okBody, "204 No Content\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"205 Reset Content\r\n{fields}"+okBody, "205 Reset Content\r\n{fields}\r\nok",
			"304 Not Modified\r\n{fields}Content-Length: x\r\n\r\n", "103 Early Hints\r\nContent-Length: 2\r\n\r\nok"+okHead+okBody,
			"103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+okHead+okBody),
	)
}

func invalidChunks() []ResponseCase {
	return slices.Concat(
		casesOf("end of chunks", chunkedHead, "",
			"", "2", "2\r\n", "2\r\no", "2\r\nok", "2\r\nok\r\n", "2\r\nok\r\n0", "2\r\nok\r\n0\r\n", "2\r\nok\r\n0\r\n\r",
			"2\r\nok\r\n0\r\nX-Trailer: 1\r\n"),
		casesOf("chunk size", chunkedHead, "ok\r\n0\r\n\r\n",
			"\r\n", "g\r\n", "+2\r\n", "-2\r\n", "0x2\r\n", " 2\r\n", "2 \r\n", "2\t\r\n", "2\n", "2\r", "1\r\n", "3\r\n",
			"10000000000000002\r\n", "ffffffffffffffff\r\n"),
		casesOf("chunk extension", chunkedHead+"2", "\r\nok\r\n0\r\n\r\n",
			";", ";=1", ";a=", ";a b", ";a=\"1", ";a=\"1\"b", ";a=\x01", ";a\x00", ";a=\"\x01\"", ";a=\"\\\x01\"", ";a=1,b", " a"),
		casesOf("end of a chunk", chunkedHead+"2\r\nok", "",
			"0\r\n\r\n", "\n0\r\n\r\n", "\r0\r\n\r\n", "\r\n0 \r\n\r\n", "\r\n0\r\n\n", "\r\n0\n\r\n"),
		casesOf("trailer", chunkedHead+"2\r\nok\r\n0\r\n", "\r\n\r\n",
			"X Blank: 1", "X-Blank : 1", "X\x01Control: 1", "X-Control: \x01", "X-No-Colon", "X-Folded: 1\r\n 2",
			"Content-Length: 2", "Transfer-Encoding: chunked"),
		casesOf("content in chunks", "HTTP/1.1 ", "\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"+okChunks, "205 Reset Content"),
	)
}

// ValidResponses returns successful responses that are unusual, but that every client must accept.
func ValidResponses() []ResponseCase {
	const unframed = "\r\nok"
	return []ResponseCase{
		{"with a length", okHead + okBody, "ok"},
		{"with leading zeros in the length", okHead + "Content-Length: " + strings.Repeat("0", 100) + "2\r\n\r\nok", "ok"},
		{"with white space around the length", okHead + "CONTENT-LENGTH:\t 2 \t\r\n\r\nok", "ok"},
		{
			"with much white space around the length",
			okHead + "Content-Length:" + strings.Repeat(" ", 100) + "2" + strings.Repeat("\t ", 100) + "\r\n\r\nok", "ok",
		},
		{"with an empty body", okHead + "Content-Length: 0\r\n\r\n", ""},
		{"without a length", okHead + unframed, "ok"},
		{"without a length and a body", okHead + "\r\n", ""},
		{"of HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n{fields}" + unframed, "ok"},
		{"of HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n{fields}" + okBody, "ok"},
		{"of a later minor version", "HTTP/1.2 200 OK\r\n{fields}" + okBody, "ok"},
		{"without a reason", "HTTP/1.1 200 \r\n{fields}" + okBody, "ok"},
		{"with a reason in UTF-8", "HTTP/1.1 200 v redu \xc5\xa1\t(ok)\r\n{fields}" + okBody, "ok"},
		{"with an unknown status", "HTTP/1.1 299 Fine\r\n{fields}" + okBody, "ok"},
		{"with no content", "HTTP/1.1 204 No Content\r\n{fields}\r\n", ""},
		{"with no content and a length of 0", "HTTP/1.1 204 No Content\r\n{fields}Content-Length: 0\r\n\r\n", ""},
		{"that resets the content", "HTTP/1.1 205 Reset Content\r\n{fields}Content-Length: 0\r\n\r\n", ""},
		{"that resets the content without a length", "HTTP/1.1 205 Reset Content\r\n{fields}\r\n", ""},
		{"that is not modified", "HTTP/1.1 304 Not Modified\r\n{fields}Content-Length: 2\r\n\r\n", ""},
		{
			"after interim responses",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okHead + okBody, "ok",
		},
		{
			"with unusual field lines",
			okHead + "!#$%&'*+-.^_`|~09aZ:x\r\nX-Empty:\r\nX-Blank: \t \r\nX-Text:\t\xe9 \"\t(),/:;<=>?@[\\]{}\r\n" + okBody, "ok",
		},
		{"in chunks", chunkedHead + "1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "ok"},
		{
			"in chunks with capital letters",
			okHead + "TRANSFER-ENCODING:Chunked \r\n\r\n0A\r\n0123456789\r\n000\r\n\r\n", "0123456789",
		},
		{"in chunks with extensions", chunkedHead + "2;a;b=c; d = \"e\\\"f;\"\r\nok\r\n0;last\r\n\r\n", "ok"},
		{"in chunks with trailers", chunkedHead + "2\r\nok\r\n0\r\nX-Trailer: 1\r\nX-Empty:\r\n\r\n", "ok"},
		{"in chunks without content", chunkedHead + "0\r\n\r\n", ""},
	}
}
