"""Line numbers of the keys in a JSON file with comments."""

import re
from dataclasses import dataclass, field

import pyjson5

__all__ = ["KeyLines"]

_TOKEN = re.compile(
    r"""//[^\n]*|/\*.*?\*/        # comments
    |"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'  # strings
    |[\[\]{},:]                   # punctuation
    |[^\s\[\]{},:"'/]+            # numbers, words and bare keys""",
    re.VERBOSE | re.DOTALL,
)


@dataclass(slots=True)
class _Container:
    path: tuple
    is_object: bool
    index: int = 0
    key: str | None = None

    @property
    def child_path(self):
        return (*self.path, self.key if self.is_object else self.index)


@dataclass
class KeyLines:
    """Line number of each key path in a valid text, and the duplicate paths.

    >>> lines = KeyLines.of('{"a": {\\n"b": 1, "b": 2}}')
    >>> lines.line_of(("a", "b")), lines.duplicates
    (2, [('a', 'b')])
    """

    line_by_path: dict[tuple, int] = field(default_factory=dict)
    duplicates: list[tuple] = field(default_factory=list)

    @classmethod
    def of(cls, text):
        """Return the key lines of a text that the JSON library has parsed."""
        lines = cls()
        stack = []
        for match in _TOKEN.finditer(text):
            token = match[0]
            if not token.startswith(("//", "/*")):
                lines._consume(token, stack, text.count("\n", 0, match.start()) + 1)
        return lines

    def line_of(self, path):
        """Return the line of the longest known prefix of `path`."""
        prefixes = (tuple(path[:end]) for end in range(len(path), 0, -1))
        known = (self.line_by_path.get(prefix) for prefix in prefixes)
        return next((line for line in known if line), 1)

    def _consume(self, token, stack, line):
        top = stack[-1] if stack else None
        match token:
            case "{" | "[":
                path = top.child_path if top else ()
                stack.append(_Container(path, token == "{"))
            case "}" | "]":
                stack.pop()
            case ",":
                top.index += 1
                top.key = None
            case ":":
                pass
            case _ if top and top.is_object and top.key is None:
                top.key = _unquoted(token)
                self._add(top.child_path, line)

    def _add(self, path, line):
        if path in self.line_by_path:
            self.duplicates.append(path)
        self.line_by_path[path] = line


def _unquoted(token):
    return pyjson5.loads(token) if token[0] in "\"'" else token
