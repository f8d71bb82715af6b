package scale

import "errors"

// Charts draws.
func (d *Data) Charts(string) ([]string, error) { return nil, errors.New("not yet") }

// Tables are all.
func (d *Data) Tables() string { return "" }

// WritePage writes.
func (d *Data) WritePage(string) error { return errors.New("not yet") }
