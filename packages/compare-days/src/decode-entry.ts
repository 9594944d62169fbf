import { entrySchema } from './entry-schema.js';
import type { DayResult } from './day-result.js';

/**
 * Decodes a journal entry of the bench into one result per day.
 *
 * @param text the entry as JSON
 * @throws {SyntaxError} when the text is not JSON
 * @throws {ZodError} when it is not a journal entry, or the run has not ended
 */
export function decodeEntry(text: string): DayResult[] {
  const { site, head, days } = entrySchema.parse(JSON.parse(text));
  return days.map(({ name, seed, G, rules, fault }) => ({
    site,
    day: name,
    worth: G,
    commit: head.slice(0, 7),
    seed: seed ?? undefined,
    brokenRules: Object.keys(rules),
    fault: fault ?? undefined,
  }));
}
