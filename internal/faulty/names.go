package faulty

// BlankNames are answers of which the name of a field holds a blank, by where it is.
var BlankNames = map[string]string{
	"Length":         "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\npartMORE",
	"Coding":         "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	"Within":         "HTTP/1.1 200 OK\r\nX Name: 1\r\nContent-Length: 4\r\n\r\npart",
	"BeforeColon":    "HTTP/1.0 200 OK\r\nX-Name : 1\r\nContent-Length: 4\r\n\r\npart",
	"WithoutContent": "HTTP/1.1 204 No Content\r\nX Name: 1\r\n\r\n",
	"Interim":        "HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
	"Continue":       "HTTP/1.1 100 Continue\r\nX Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
	"Refusal":        "HTTP/1.1 404 Not Found\r\nX Name: 1\r\nContent-Length: 4\r\n\r\npart",
	"Trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX Name: 1\r\n\r\n",
}

// ForbiddenNames are answers of which the name of a field holds another byte that no name holds (RFC 9110, section 5.1), by
// that byte.
var ForbiddenNames = map[string]string{
	"Tab":        forbidden("\t"),
	"NUL":        forbidden("\x00"),
	"Control":    forbidden("\x01"),
	"Delete":     forbidden("\x7f"),
	"CR":         forbidden("\r"),
	"NotASCII":   forbidden("\x80"),
	"Bracket":    forbidden("("),
	"EmptyName":  "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 4\r\n\r\npart",
	"FirstLine":  "HTTP/1.1 200 OK\r\n X-Name: 1\r\nContent-Length: 4\r\n\r\npart",
	"TabTrailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX\tName: 1\r\n\r\n",
}

func forbidden(b string) string {
	return "HTTP/1.1 200 OK\r\nX" + b + "Name: 1\r\nContent-Length: 4\r\n\r\npart"
}
