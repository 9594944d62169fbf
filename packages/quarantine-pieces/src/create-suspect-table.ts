import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { CallTrait } from './call-trait.js';
import type { Culprit } from './culprit.js';
import { computeTrialGap } from './compute-trial-gap.js';
import { createSurvivalLog } from './create-survival-log.js';
import { findCulprits } from './find-culprits.js';
import { listCountedCrashes } from './list-counted-crashes.js';
import { mergeSuspect } from './merge-suspect.js';
import type { QuarantineVerdict } from './quarantine-verdict.js';
import type { Suspect } from './suspect.js';
import type { SuspectTable } from './suspect-table.js';

/** Maximum number of suspects; `docs/CAPACITY.md` has the memory of one. */
const MAX_SUSPECTS = 2048;
/** Number of suspects dropped at once when the table is full. */
const EVICTED_SUSPECTS = 256;
/** Maximum number of traits recorded for one crash by one host. */
const MAX_TRAITS_PER_CRASH = 64;
/** Time after which a suspect that is not convicted is dropped, milliseconds. */
const SUSPECT_TTL_MS = 120_000;
/** Time after the last crash, trial or refused call at which a conviction ends, milliseconds. */
const CONVICTION_TTL_MS = 24 * 3_600_000;
/** Time for the evidence of other hosts to arrive before a change takes effect, milliseconds. */
const SETTLE_MS = 100;
/** Time between the possible trials of two hosts, milliseconds: a trial is known everywhere before the next host starts one. */
const TRIAL_SPACING_MS = 300;

interface Entry {
  suspect: Suspect;
  changedAtMs: number;
  /** Time at which a call was last refused because of the suspect, monotonic milliseconds. */
  refusedAtMs: number;
  /** Random share of the time over which the trials of all hosts are spread. */
  readonly trialOrder: number;
}

const getLastActionMs = ({ crashes, trialAtMs }: Suspect): number =>
  Math.max(trialAtMs, ...crashes.map(({ atMs }) => atMs));

/**
 * Creates an empty table.
 *
 * @param countHosts number of hosts of the fleet
 * @param pickRandom returns a random number from 0 (inclusive) to 1 (exclusive)
 */
export function createSuspectTable(countHosts: () => number, pickRandom: () => number): SuspectTable {
  const logger = createLogger('crashes');
  const entries = new Map<string, Entry>();
  const survivals = createSurvivalLog();
  const changeHandlers: ((isOwn: boolean) => void)[] = [];
  const convictionHandlers: (() => void)[] = [];
  let culprits: ReadonlyMap<string, Culprit> = new Map();
  let isUpdatePending = false;

  /** Makes room for new suspects; returns false when every suspect is more important than a new one. */
  const ensureRoom = (): boolean => {
    if (entries.size < MAX_SUSPECTS) return true;
    const rank = ({ suspect }: Entry): number => {
      const crashes = listCountedCrashes(suspect).length;
      return crashes === 0 ? 0 : crashes + Number(suspect.position >= 0);
    };
    const ranked = [...entries]
      .filter(([trait]) => !culprits.has(trait))
      .map(([trait, entry]) => ({ trait, rank: rank(entry) }))
      .sort((a, b) => a.rank - b.rank);
    for (const { trait } of ranked.slice(0, EVICTED_SUSPECTS)) entries.delete(trait);
    return ranked.length > 0;
  };
  /** Returns true when the suspect has changed. */
  const applySuspect = (added: Suspect, isOwn: boolean): boolean => {
    const known = entries.get(added.trait);
    const survivedAtMs = survivals.getBeginMs(added.trait);
    const clearsCrashes = listCountedCrashes(added).some(({ atMs }) => atMs < survivedAtMs);
    const incoming =
      survivedAtMs > added.clearedAtMs && (known === undefined || clearsCrashes)
        ? { ...added, clearedAtMs: survivedAtMs }
        : added;
    const suspect = mergeSuspect(known?.suspect, incoming);
    if (suspect === known?.suspect) return false;
    if (known === undefined && isOwn && listCountedCrashes(suspect).length === 0) return false;
    if (known === undefined && !ensureRoom()) return false;
    const changedAtMs = readMonotonicMs();
    entries.set(added.trait, {
      suspect,
      changedAtMs,
      refusedAtMs: known?.refusedAtMs ?? -Infinity,
      trialOrder: known?.trialOrder ?? pickRandom(),
    });
    return true;
  };
  const updateCulprits = (): void => {
    const previous = culprits;
    culprits = findCulprits([...entries.values()].map(({ suspect }) => suspect));
    const convicted = [...culprits.keys()].filter((trait) => !previous.has(trait));
    for (const trait of convicted)
      logger.warn('refusing calls because of crashes', {
        trait,
        position: entries.get(trait)?.suspect.position,
        crashes: entries.get(trait)?.suspect.crashes.map(({ server }) => server),
      });
    for (const trait of previous.keys())
      if (!culprits.has(trait)) {
        const cleared = entries.get(trait)?.suspect;
        const reason = cleared === undefined ? 'expired' : 'a call was served, or another trait explains';
        logger.warn('no longer refusing calls because of crashes', { trait, reason });
      }
    if (convicted.length > 0) for (const handler of convictionHandlers) handler();
  };
  const expireEntries = (): void => {
    const now = readMonotonicMs();
    for (const [trait, { suspect, refusedAtMs }] of entries) {
      const ttlMs = culprits.has(trait) ? CONVICTION_TTL_MS : SUSPECT_TTL_MS;
      if (now - Math.max(refusedAtMs, getLastActionMs(suspect)) > ttlMs) entries.delete(trait);
    }
    if ([...culprits.keys()].some((trait) => !entries.has(trait))) updateCulprits();
  };
  const applyChanges = (suspects: readonly Suspect[], isOwn: boolean): void => {
    expireEntries();
    if (suspects.filter((suspect) => applySuspect(suspect, isOwn)).length === 0) return;
    if (!isUpdatePending) {
      isUpdatePending = true;
      startTimer(SETTLE_MS, () => {
        isUpdatePending = false;
        updateCulprits();
      });
    }
    for (const handler of changeHandlers) handler(isOwn);
  };
  const computeTrialWait = (trait: string, culprit: Culprit): number => {
    const entry = entries.get(trait);
    if (entry === undefined) return 0;
    const spreadMs = entry.trialOrder * countHosts() * TRIAL_SPACING_MS;
    return getLastActionMs(entry.suspect) + computeTrialGap(culprit) + spreadMs - readMonotonicMs();
  };

  const findVerdict = (
    traits: readonly CallTrait[],
    onRefusing?: (entry: Entry) => void,
  ): QuarantineVerdict => {
    if (culprits.size === 0) return { kind: 'allowed' };
    let verdict: QuarantineVerdict = { kind: 'allowed' };
    for (const { trait } of traits) {
      const culprit = culprits.get(trait);
      if (culprit === undefined) continue;
      const retryAfterMs = computeTrialWait(trait, culprit);
      if (retryAfterMs <= 0 && verdict.kind === 'allowed') verdict = { kind: 'trial' };
      const entry = entries.get(trait);
      if (retryAfterMs > 0 && entry !== undefined) onRefusing?.(entry);
      if (retryAfterMs > (verdict.kind === 'refused' ? verdict.retryAfterMs : 0))
        verdict = { kind: 'refused', trait, crashes: culprit.moments, retryAfterMs };
    }
    return verdict;
  };

  return {
    recordCrash: (crash, traits) => {
      const unique = new Map(traits.map((callTrait) => [callTrait.trait, callTrait]));
      const ranked = [...unique.values()].sort((a, b) => b.position - a.position);
      if (ranked.length > MAX_TRAITS_PER_CRASH)
        logger.warn('too many pieces were on a crashed server', {
          server: crash.server,
          traits: ranked.length,
        });
      applyChanges(
        ranked.slice(0, MAX_TRAITS_PER_CRASH).map((callTrait) => ({
          ...callTrait,
          crashes: [crash],
          clearedAtMs: -Infinity,
          trialAtMs: -Infinity,
        })),
        true,
      );
    },
    recordSurvival: (traits, beganAtMs) => {
      for (const { trait } of traits) survivals.addSurvival(trait, beganAtMs);
      if (entries.size === 0) return;
      const known = traits.flatMap(({ trait }) => entries.get(trait)?.suspect ?? []);
      const harmed = known.filter((suspect) =>
        listCountedCrashes(suspect).some(({ atMs }) => atMs < beganAtMs),
      );
      if (harmed.length > 0)
        applyChanges(
          harmed.map((suspect) => ({ ...suspect, clearedAtMs: beganAtMs })),
          true,
        );
    },
    mergeSuspects: (suspects) => {
      applyChanges(suspects, false);
    },
    checkTraits: (traits) =>
      findVerdict(traits, (entry) => {
        entry.refusedAtMs = readMonotonicMs();
      }),
    readVerdict: (traits) => findVerdict(traits),
    startTrial: (traits) => {
      const trialAtMs = readMonotonicMs();
      const tested = traits
        .filter(({ trait }) => culprits.has(trait))
        .flatMap(({ trait }: CallTrait) => entries.get(trait)?.suspect ?? []);
      logger.info('testing traits that crashed servers', { traits: tested.map(({ trait }) => trait) });
      applyChanges(
        tested.map((suspect) => ({ ...suspect, trialAtMs })),
        true,
      );
    },
    isConvicted: (trait) => culprits.has(trait),
    countConvicted: () => culprits.size,
    isEmpty: () => entries.size === 0,
    listSuspects: (sinceMs, hasConvicted) => {
      expireEntries();
      const rank = ({ suspect }: Entry): number =>
        (culprits.has(suspect.trait) ? 100 : 0) + listCountedCrashes(suspect).length * 10 + suspect.position;
      return [...entries.values()]
        .filter(
          ({ suspect, changedAtMs }) =>
            changedAtMs >= sinceMs || (hasConvicted && culprits.has(suspect.trait)),
        )
        .sort((a, b) => rank(b) - rank(a))
        .map(({ suspect }) => suspect);
    },
    watchChanges: (handler) => {
      changeHandlers.push(handler);
    },
    watchConvictions: (handler) => {
      convictionHandlers.push(handler);
    },
  };
}
