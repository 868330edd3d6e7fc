package command

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/lab/tally"
)

func tallyCommand() *cobra.Command {
	return &cobra.Command{Use: "tally DIR|LOG...",
		Short: "Add up the accounts in the logs of a fleet's doors: operations arrived, sent, rejected and failed by cause",
		Long: "Reads each LOG, or every *.log in DIR, as one door's log, and adds up the accounts that doors write every " +
			"5 s: in total and for each window of the doors' own clocks.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			logs, err := expandLogs(args)
			if err != nil {
				return err
			}
			var f tally.Fleet
			for _, name := range logs {
				if err := addDoorLog(&f, name); err != nil {
					return err
				}
			}
			f.Print(cmd.OutOrStdout(), frontdoor.AccountIntervalMs)
			return nil
		}}
}

// expandLogs returns the logs that the arguments name: files as they are, and the *.log files of a directory.
func expandLogs(args []string) ([]string, error) {
	var logs []string
	for _, a := range args {
		info, err := os.Stat(a)
		if err != nil {
			return nil, &FileError{Path: a, Cause: err}
		}
		if !info.IsDir() {
			logs = append(logs, a)
			continue
		}
		in, err := filepath.Glob(filepath.Join(a, "*.log"))
		if err != nil {
			return nil, err
		}
		if len(in) == 0 {
			return nil, &FileError{Path: a, Reason: "no *.log in it"}
		}
		logs = append(logs, in...)
	}
	return logs, nil
}

// addDoorLog adds the log of one door to the tally.
func addDoorLog(f *tally.Fleet, name string) error {
	r, err := os.Open(name)
	if err != nil {
		return &FileError{Path: name, Cause: err}
	}
	defer r.Close()
	if err := f.AddLog(r); err != nil {
		return &FileError{Path: name, Cause: err}
	}
	return nil
}
