import type { Culprit } from './culprit.js';
import { countCrashMoments } from './count-crash-moments.js';
import type { CrashRecord } from './crash-record.js';
import { getCrashKey } from './get-crash-key.js';
import { listCountedCrashes } from './list-counted-crashes.js';
import type { Suspect } from './suspect.js';

/** Crash moments that a trait must explain: a single crash can have any reason. */
const MIN_MOMENTS = 2;
/** Crash moments from which on a trait is convicted unless one other trait explains all of them. */
const SUFFICIENT_MOMENTS = 8;

interface Candidate {
  readonly suspect: Suspect;
  readonly crashes: readonly CrashRecord[];
  readonly crashKeys: ReadonlySet<string>;
  readonly moments: number;
}

const compareCandidates = (a: Candidate, b: Candidate): number =>
  Number(Number.isFinite(a.suspect.clearedAtMs)) - Number(Number.isFinite(b.suspect.clearedAtMs)) ||
  b.suspect.position - a.suspect.position ||
  b.moments - a.moments ||
  (a.suspect.trait < b.suspect.trait ? -1 : 1);

/**
 * Finds the traits that explain repeated crashes. A trait is not blamed for crashes that a more specific one explains: one that no served
 * call ever had, or one further back in the prompt, because the pieces before it are part of more calls. Should the more specific trait
 * be innocent, the crashes go on without it and are then left to the other.
 *
 * @returns the culprits by trait
 */
export function findCulprits(suspects: Iterable<Suspect>): ReadonlyMap<string, Culprit> {
  const all = [...suspects].map((suspect): Candidate => {
    const crashes = listCountedCrashes(suspect);
    const crashKeys = new Set(crashes.map(getCrashKey));
    return { suspect, crashes, crashKeys, moments: countCrashMoments(crashes) };
  });
  const candidates = all.filter(({ moments }) => moments >= MIN_MOMENTS).sort(compareCandidates);
  const culprits: (Candidate & { readonly unexplained: number })[] = [];
  const explained = new Set<string>();
  for (const candidate of candidates) {
    const unexplained = countCrashMoments(
      candidate.crashes.filter((crash) => !explained.has(getCrashKey(crash))),
    );
    const isExplainedByOne = culprits.some(({ crashKeys }) =>
      [...candidate.crashKeys].every((key) => crashKeys.has(key)),
    );
    const isConvicted =
      unexplained >= MIN_MOMENTS || (candidate.moments >= SUFFICIENT_MOMENTS && !isExplainedByOne);
    if (!isConvicted) continue;
    culprits.push({ ...candidate, unexplained });
    for (const key of candidate.crashKeys) explained.add(key);
  }
  const hasMoreSpecific = ({ suspect, crashKeys }: Candidate): boolean =>
    all.some(
      (other) =>
        other.suspect.position > suspect.position && [...other.crashKeys].some((key) => crashKeys.has(key)),
    );
  return new Map(
    culprits.map((culprit) => [
      culprit.suspect.trait,
      { moments: culprit.unexplained, isDoubtful: hasMoreSpecific(culprit) },
    ]),
  );
}
