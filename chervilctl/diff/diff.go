// Package diff compares two texts line by line.
package diff

import "strings"

// Lines returns a minimal line difference from a to b, without context lines. Lines
// that b lacks are prefixed with "-", and lines that b adds with "+". The result for
// equal texts is "".
func Lines(a, b string) string {
	oldLines, newLines := strings.Split(a, "\n"), strings.Split(b, "\n")
	lengths := lcsLengths(oldLines, newLines)
	var out strings.Builder
	i, j := 0, 0
	for i < len(oldLines) || j < len(newLines) {
		switch {
		case i < len(oldLines) && j < len(newLines) && oldLines[i] == newLines[j]:
			i++
			j++
		case i < len(oldLines) && (j == len(newLines) || lengths[i+1][j] >= lengths[i][j+1]):
			out.WriteString("-" + oldLines[i] + "\n")
			i++
		default:
			out.WriteString("+" + newLines[j] + "\n")
			j++
		}
	}
	return out.String()
}

// lcsLengths returns a table whose element [i][j] is the length of the longest
// common subsequence of oldLines[i:] and newLines[j:].
func lcsLengths(oldLines, newLines []string) [][]int {
	lengths := make([][]int, len(oldLines)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(newLines)+1)
	}
	for i := len(oldLines) - 1; i >= 0; i-- {
		for j := len(newLines) - 1; j >= 0; j-- {
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			if oldLines[i] == newLines[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			}
		}
	}
	return lengths
}
