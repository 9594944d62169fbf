import type { History } from '../history/history.js';
import { checkPublications } from './check-publications.js';
import { computeDeadline } from './compute-deadline.js';

/** Worst case of section 1.2 for a configuration to be in force on all live nodes. */
const IN_FORCE_MS = 8_000;

/**
 * I9: the generation of a node never falls; an accepted one is in force on each live node within 8 s, not counting the time in
 * which the platform or the node could not act; and no accepted change is lost by a later one.
 */
export function checkGenerations(history: History): readonly string[] {
  const broken: string[] = [];
  const accepted = history.publications.flatMap(({ endMs, result }) =>
    result.kind === 'published' ? [{ generation: result.head.generation, endMs }] : [],
  );
  const outages = history.outages.filter(({ part }) => part === 'platform');
  for (const life of history.lives) {
    const pauses = [...outages, ...life.pauses];
    const samples = history.generations.filter(({ node }) => node === life.node);
    let highest = 0;
    for (const { atMs, generation } of samples) {
      if (generation < highest) {
        broken.push(`the generation of ${life.node} fell from ${String(highest)} to ${String(generation)}`);
      }
      highest = Math.max(highest, generation);
      const late = accepted.find(
        (one) =>
          one.generation > generation &&
          atMs > computeDeadline(Math.max(one.endMs, life.startMs), IN_FORCE_MS, pauses),
      );
      if (late !== undefined && atMs < (life.stopMs ?? life.endMs)) {
        broken.push(
          `${life.node} had generation ${String(generation)} in force ${String(Math.round(atMs - late.endMs))} ms ` +
            `after ${String(late.generation)} was accepted`,
        );
      }
    }
  }
  return [...broken, ...checkPublications(history.publications)];
}
