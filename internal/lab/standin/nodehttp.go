package standin

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"robincart/internal/lab/wire"
)

const (
	// readyTimeout bounds the wait for a node's answer whether it is ready.
	readyTimeout = 2 * time.Second
	// acceptsTimeout bounds the wait for a process's answer whether it accepts clients.
	acceptsTimeout = time.Second
	// operatorTimeout bounds an operator's call.
	operatorTimeout = 2 * time.Second
)

// OperatorCall makes an operator's call on a server and returns its status; 0: the node can't be reached now.
func (n *Node) OperatorCall(path, server string) int {
	body := fmt.Sprintf(`{"host":%q}`, server)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: lab\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	return requestStatus(n.adminAddr(), request, operatorTimeout)
}

func (n *Node) adminAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	addr, _ := n.Config["admin_addr"].(string)
	return addr
}

// isReady returns whether a node is ready, by its health check.
func isReady(addr string) bool {
	return requestStatus(addr, "GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n", readyTimeout) == 200
}

// acceptsClients returns whether a process accepts clients, by its operators' address.
func acceptsClients(adminAddr string) bool {
	return requestStatus(adminAddr, "GET /_ready HTTP/1.1\r\nHost: lab\r\n\r\n", acceptsTimeout) == 200
}

// requestStatus sends a request on a connection of its own and returns the response's status; 0 if there is none in
// time.
func requestStatus(addr, request string, timeout time.Duration) int {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprint(conn, request)
	response, err := wire.ReadResponse(bufio.NewReader(conn))
	if err != nil {
		return 0
	}
	return response.Status
}
