package helper

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"

	"sandpass/internal/scale/standin"
)

// Run is the helper if the environment says so, and tells whether it was.
func Run() (bool, error) {
	role := Role(os.Getenv(RoleEnv))
	if role == "" {
		return false, nil
	}
	log.SetOutput(io.Discard)
	var handle func(*Request) (*Response, error)
	switch role {
	case Discovery:
		d := &discovery{}
		defer d.close()
		handle = d.handle
	case InProcess:
		h := &hollow{}
		log.SetOutput(&h.log)
		defer h.stopAll()
		handle = h.handle
	default:
		return true, fmt.Errorf("%s: role %q is unknown", RoleEnv, role)
	}
	return true, serve(os.Stdin, os.Stdout, handle)
}

// serve answers requests until there are no more.
func serve(in io.Reader, out io.Writer, handle func(*Request) (*Response, error)) error {
	decoder, encoder := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	for {
		var request Request
		if err := decoder.Decode(&request); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		answer, err := handle(&request)
		if answer == nil {
			answer = &Response{}
		}
		if err != nil {
			answer.Error = err.Error()
		}
		if err := encoder.Encode(answer); err != nil {
			return err
		}
	}
}

// discovery is the helper that stands in for it.
type discovery struct {
	standin *standin.Discovery
}

func (d *discovery) close() {
	if d.standin != nil {
		d.standin.Close()
		d.standin = nil
	}
}

func (d *discovery) handle(r *Request) (*Response, error) {
	if r.Discover != nil {
		return nil, d.start(r.Discover)
	}
	if d.standin == nil {
		return nil, errors.New("discovery was not started")
	}
	switch {
	case r.Change != nil:
		for _, list := range r.Change.Lists {
			if err := d.standin.Update(list, r.Change.Endpoints); err != nil {
				return nil, err
			}
		}
	case r.Silence != nil:
		d.standin.SetSilent(r.Silence.Agents, r.Silence.Silent)
	case len(r.CloseConnections) > 0:
		d.standin.CloseConnections(r.CloseConnections)
	case r.Traffic:
		traffic, watching := d.standin.Traffic()
		return &Response{Traffic: traffic, OpenWatches: watching}, nil
	default:
		return nil, errors.New("discovery does not know this request")
	}
	return nil, nil
}

func (d *discovery) start(r *Discover) error {
	d.close()
	d.standin = standin.NewDiscovery(r.Lists)
	for _, a := range r.Agents {
		if err := d.standin.Listen(a.Address, a.List); err != nil {
			d.close()
			return err
		}
	}
	return nil
}
