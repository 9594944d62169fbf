import fs from 'node:fs';

/** Reads the verbs from the table in docs/verbs.md: the first cell of each row, in backquotes. */
export function readVerbs() {
  const text = fs.readFileSync(new URL('../docs/verbs.md', import.meta.url), 'utf8');
  return new Set([...text.matchAll(/^\| `([a-z]+)`/gm)].map((found) => found[1]));
}
