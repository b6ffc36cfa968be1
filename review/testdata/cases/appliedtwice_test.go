package cases_test

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

func init() { cases["applied-twice"] = appliedTwice }

// lateConnection is how long after the break a connection to the store comes up.
const lateConnection = 900 * time.Millisecond

// lossyWay passes bytes on between clients and a store. It loses the answer to the first commit: the connection breaks
// once the store has answered. The next connection comes up late.
func lossyWay(p *play, target string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	failIf(err, "listen for a proxy")
	go func() {
		for number := 1; ; number++ {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go passTransactions(p, client, target, number)
		}
	}()
	return listener.Addr().String()
}

// passTransactions serves one connection of a lossy way.
func passTransactions(p *play, client net.Conn, target string, number int) {
	defer client.Close()
	if number == 2 && p.trouble {
		time.Sleep(lateConnection)
	}
	server, err := net.DialTimeout("tcp", target, 2*time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	committed := make(chan struct{}, 1)
	go func() {
		buffer := make([]byte, 16<<10)
		for {
			n, err := client.Read(buffer)
			if bytes.Contains(bytes.ToLower(buffer[:n]), []byte("commit")) {
				committed <- struct{}{}
			}
			if n > 0 {
				server.Write(buffer[:n])
			}
			if err != nil {
				server.Close()
				return
			}
		}
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := server.Read(buffer)
		select {
		case <-committed:
			if number == 1 && p.trouble {
				p.note("the store has committed, and the connection breaks before its answer is passed on")
				client.(*net.TCPConn).SetLinger(0)
				return
			}
		default:
		}
		if n > 0 {
			client.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}

var revisionPattern = regexp.MustCompile(`route +night +(\d+) `)

// appliedTwice lets two operators set one route, the second one having read what the first one set.
func appliedTwice(p *play) string {
	postgres := freeAddress()
	p.start("store", fmt.Sprintf("exec review/bin/cases pg %s %s", postgres, filepath.Join(p.temporary, "rows")))
	time.Sleep(500 * time.Millisecond)
	address := func(at string) string { return "'postgres://robin:cart@" + at + "/record?sslmode=disable'" }
	direct := address(postgres)
	p.runOnce("bin/robincart record init --store " + direct)
	route := func(file, host string) string {
		return p.write(file, fmt.Sprintf(recordedRoute, "night", host, "tables"))
	}
	show := func() string { return p.runOnce("bin/robincart record show --kind route --store " + direct) }

	first := make(chan struct{})
	way := address(lossyWay(p, postgres))
	noi := route("noi.toml", "noi.example.org")
	lek := route("lek.toml", "lek.example.org")
	go func() {
		defer close(first)
		p.runOnce("bin/robincart record set --by noi --store " + way + " route night " + noi)
	}()
	var found []string
	for end := time.Now().Add(5 * time.Second); len(found) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(notRun("the first write did not arrive"))
		}
		found = revisionPattern.FindStringSubmatch(show())
	}
	p.runOnce("bin/robincart record set --by lek --store " + direct + " route night " + lek + " --expect " + found[1])
	<-first
	time.Sleep(200 * time.Millisecond)
	if !strings.Contains(show(), "lek.example.org") {
		return "noi's one command was applied twice: before lek's, which had read it and named its revision, and once " +
			"more over it"
	}
	return ""
}
