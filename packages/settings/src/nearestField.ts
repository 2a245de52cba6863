/** Returns the Levenshtein distance between two strings. */
function editDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let row = 1; row <= a.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= b.length; column += 1) {
      const replace = (previous[column - 1] ?? 0) + (a[row - 1] === b[column - 1] ? 0 : 1);
      const insert = (current[column - 1] ?? 0) + 1;
      const remove = (previous[column] ?? 0) + 1;
      current.push(Math.min(replace, insert, remove));
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}

/** Longer names are truncated before the comparison, which bounds the cost of a malicious document. */
const MAX_COMPARED_LENGTH = 64;

/** Returns the known field with the most similar spelling. */
export function nearestField(unknownField: string, knownFields: readonly string[]): string | undefined {
  const word = unknownField.slice(0, MAX_COMPARED_LENGTH).toLowerCase();
  const ranked = knownFields
    .map((field) => ({ field, distance: editDistance(word, field.toLowerCase()) }))
    .sort((a, b) => a.distance - b.distance);
  return ranked[0]?.field;
}
