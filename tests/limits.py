"""python tests/limits.py FILE: fails where the decision module outgrows what its readers agreed to."""

import sys
from pathlib import Path

MOST_LINES, MOST_WIDTH = 560, 110


def faults(text: str) -> list[str]:
    lines = text.splitlines()
    filled = sum(1 for line in lines if line.strip())
    found = [f"{filled} non-blank lines, {MOST_LINES} at most"] if filled > MOST_LINES else []
    for number, line in enumerate(lines, 1):
        if len(line) > MOST_WIDTH:
            found.append(f"line {number} is {len(line)} characters wide, {MOST_WIDTH} at most")
    return found


if __name__ == "__main__":
    problems = faults(Path(sys.argv[1]).read_text(encoding="utf-8"))
    print("\n".join(problems) or "the decision module keeps its limits")
    sys.exit(1 if problems else 0)
