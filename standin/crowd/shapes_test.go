package crowd

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

// stopShort is the number of bytes at the end of a body that most clients do not send.
const stopShort = 16

// endEvery is the number of clients of which one sends its request to the end.
const endEvery = 8

const oneStep = `{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":100}`

// smallJob returns an ordinary submission.
func smallJob() io.Reader { return strings.NewReader(`{"spec":"x","steps":[` + oneStep + `]}`) }

// largeJob returns a valid submission of a size.
func largeJob(size int) string {
	text := `{"spec":"x","steps":[` + oneStep + `]`
	return text + strings.Repeat(" ", size-len(text)-1) + "}"
}

// manySteps returns a submission of a size at most, of as many steps as possible.
func manySteps(size int) string {
	return `{"spec":"x","steps":[` + strings.Repeat("{},", size/3-20) + "{}]}"
}

// withLength ends headers with the length of a body.
func withLength(head, body string) string {
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
}

func wholeBodies(head, body string, clients int) Shape {
	cut := len(body) - stopShort
	return Shape{
		Name: "whole bodies", Clients: clients, Head: withLength(head, body), Pieces: []byte(body[:cut]), Rounds: 1,
		End: body[cut:], EndEvery: endEvery,
	}
}

func piecewiseBodies(head, body string, clients int) Shape {
	const piece = 4 << 10
	rounds := len(body)/piece - 1
	// All pieces are the same, so this body is not valid; it is not meant to be.
	return Shape{
		Name: "piecewise bodies", Clients: clients, Head: withLength(head, body), Pieces: []byte(strings.Repeat(" ", piece)),
		Rounds: rounds, End: body[rounds*piece:], EndEvery: endEvery,
	}
}

func chunkedBodies(head, name, body string, size, clients int) Shape {
	cut := len(body) - stopShort
	return Shape{
		Name: name, Clients: clients, Head: head + "Transfer-Encoding: chunked\r\n\r\n", Pieces: Chunked(body[:cut], size), Rounds: 1,
		End: string(Chunked(body[cut:], size)) + "0\r\n\r\n", EndEvery: endEvery,
	}
}

// endedBodies sends every body to its end.
func endedBodies(head, body string, clients int) Shape {
	return Shape{
		Name: "many steps", Clients: clients, Head: withLength(head, body), Pieces: []byte(body[:len(body)-stopShort]), Rounds: 1,
		End: body[len(body)-stopShort:], EndEvery: 1,
	}
}

// headerFlood sends many short headers without an end, far more than is legal.
func headerFlood(head string, clients int) Shape {
	return headersWithoutEnd("headers", head, 900<<10, clients)
}

// legalHeaders sends many short headers without an end, of a legal size in all.
func legalHeaders(head string, clients int) Shape {
	return headersWithoutEnd("headers of legal size", head, 15<<10, clients)
}

func headersWithoutEnd(name, head string, size, clients int) Shape {
	var headers strings.Builder
	for n := 0; headers.Len() < size; n++ {
		fmt.Fprintf(&headers, "X%x: \r\n", n)
	}
	return Shape{Name: name, Clients: clients, Head: head, Pieces: []byte(headers.String()), Rounds: 1}
}

// idleConnections sends one complete request and nothing more.
func idleConnections(request string, clients int) Shape {
	return Shape{Name: "idle connections", Clients: clients, Head: request}
}

// peerMessages opens the connections of peers, with the handshake of the product, and then sends a message that stops
// short of its end.
func peerMessages(clients int) Shape {
	const size = 2 << 20
	upgrade := "GET /peer HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
	const hello = "\xa2\x01\x01\x02\x61x" // CBOR: version 1, sender "x"
	const binaryMessage, masked, length64 = 0x82, 0x80, 127
	noMask := "\x00\x00\x00\x00"
	first := string([]byte{binaryMessage, masked | byte(len(hello))}) + noMask + hello
	large := binary.BigEndian.AppendUint64([]byte{binaryMessage, masked | length64}, size)
	return Shape{
		Name: "messages", Clients: clients, Head: upgrade + first + string(large) + noMask,
		Pieces: []byte(strings.Repeat(" ", size-stopShort)), Rounds: 1,
	}
}
