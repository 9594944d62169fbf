import type { ConfigHead } from '@laburnumshift/types';
import type { Publication } from '../history/publication.js';

/** Checks that accepted changes have generations of their own and that each keeps what the one before it set. */
export function checkPublications(publications: readonly Publication[]): readonly string[] {
  const accepted = publications
    .flatMap(({ result }) => (result.kind === 'published' ? [result] : []))
    .sort((a, b) => a.head.generation - b.head.generation);
  return accepted.flatMap(({ head, files }, index) => {
    const before = accepted[index - 1]?.head;
    if (before?.generation === head.generation) {
      return [`generation ${String(head.generation)} was accepted twice`];
    }
    if (before?.generation !== head.generation - 1) return [];
    const changed = new Set(files.map(({ file }) => file));
    return listDifferences(before, head)
      .filter((file) => !changed.has(file))
      .map((file) => `generation ${String(head.generation)} lost the accepted content of ${file}`);
  });
}

function listDifferences(before: ConfigHead, after: ConfigHead): readonly string[] {
  const files = new Set([...Object.keys(before.segments), ...Object.keys(after.segments)]);
  return [...files].filter((file) => before.segments[file] !== after.segments[file]);
}
