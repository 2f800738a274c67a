// Package difference shows two texts line by line.
package difference

import "strings"

// Lines returns the lines that b takes away from a, marked "-", and adds to it,
// marked "+", in their order. Equal texts give "".
func Lines(a, b string) string {
	x, y := strings.Split(a, "\n"), strings.Split(b, "\n")
	common := table(x, y)
	var out strings.Builder
	i, j := 0, 0
	for i < len(x) || j < len(y) {
		switch {
		case i < len(x) && j < len(y) && x[i] == y[j]:
			i++
			j++
		case i < len(x) && (j == len(y) || common[i+1][j] >= common[i][j+1]):
			out.WriteString("-" + x[i] + "\n")
			i++
		default:
			out.WriteString("+" + y[j] + "\n")
			j++
		}
	}
	return out.String()
}

// table holds the length of the longest common subsequence of each pair of
// rests.
func table(x, y []string) [][]int {
	t := make([][]int, len(x)+1)
	for i := range t {
		t[i] = make([]int, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			t[i][j] = max(t[i+1][j], t[i][j+1])
			if x[i] == y[j] {
				t[i][j] = t[i+1][j+1] + 1
			}
		}
	}
	return t
}
