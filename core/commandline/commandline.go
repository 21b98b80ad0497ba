// Package commandline sets up the command lines of the programs alike.
package commandline

import "github.com/integrii/flaggy"

// Version is the version of all programs.
const Version = "0.1.0"

// Parser reads the command line of one program.
type Parser struct {
	*flaggy.Parser
}

// NewParser returns the parser of a program; help follows its list of flags.
func NewParser(name, description, help string) *Parser {
	p := flaggy.NewParser(name)
	p.Description = description
	p.AdditionalHelpAppend = help
	p.Version = Version
	return &Parser{Parser: p}
}

// Command adds a command, whose help ends with an example of what follows the
// program's name.
func (p *Parser) Command(name, description, example string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = "example:\n  " + p.Name + " " + name + " " + example
	p.AttachSubcommand(s, 1)
	return s
}

// Used returns the name of the command that was given, or "".
func (p *Parser) Used() string {
	for _, s := range p.Subcommands {
		if s.Used {
			return s.Name
		}
	}
	return ""
}
