import { createRandom } from './create-random.js';
import type { Deployment } from './deployment.js';
import type { LoadRequest } from './load-request.js';
import type { PromptPart } from './prompt-part.js';
import { SMALL_ACCOUNTS } from './small-accounts.js';
import type { TrafficClass } from './traffic-class.js';

const PIECE_TOKENS = 2_000;
const MS_PER_S = 1_000;
const GAP_SIGMA = 0.4;
/** The declared accounts bring four fifths of the requests, the small ones the rest. */
const LARGE_PART = 0.8;

/**
 * Generates the requests of a deployment: conversations begin at random, return after long gaps and grow by one piece with
 * each return. Equal seeds give equal workloads.
 *
 * @param load multiple of the steady load
 * @returns requests in order of time
 */
export function generateWorkload(
  deployment: Deployment,
  seed: number,
  load: number,
  durationMs: number,
): LoadRequest[] {
  const random = createRandom(seed);
  const drafts: Omit<LoadRequest, 'id' | 'newTokens'>[] = [];
  const addConversation = (kind: TrafficClass, index: number, startMs: number): void => {
    const isLarge = random.pickUniform() < LARGE_PART;
    const accounts = isLarge ? deployment.largeAccounts : SMALL_ACCOUNTS;
    // The square makes the first accounts larger than the others.
    const account = accounts[Math.floor(random.pickUniform() ** 2 * accounts.length)] ?? '';
    const shared = `${account}/${kind.service}`;
    const name = `${shared}/${String(index)}`;
    let full = random.pickInteger(...kind.pieces);
    for (let atMs = startMs, turn = 0; atMs < durationMs; turn += 1) {
      const parts: PromptPart[] = Array.from({ length: full }, (_, place) => ({
        name: `${place < kind.sharedPieces ? shared : name}+${String(place)}`,
        tokens: PIECE_TOKENS,
      }));
      const rest = random.pickInteger(50, kind.pieces[1] === 0 ? 300 : 500);
      if (kind.kind === 'completion') parts.push({ name: `${name}?${String(turn)}`, tokens: rest });
      drafts.push({ atMs, account, kind, parts, tokens: parts.reduce((sum, part) => sum + part.tokens, 0) });
      if (random.pickUniform() >= kind.returnChance) break;
      atMs += random.pickLogNormal(kind.gapMs, GAP_SIGMA);
      full += 1;
    }
  };
  for (const kind of deployment.classes) {
    const starts = kind.perSecond * load * (1 - kind.returnChance);
    // Conversations that began before the run and return in its first seconds, so that the rate is even from the start.
    const earlier = Math.round(kind.perSecond * load * kind.returnChance * (kind.gapMs / MS_PER_S));
    let index = 0;
    for (; index < earlier; index += 1) addConversation(kind, index, random.pickUniform() * kind.gapMs);
    const meanMs = MS_PER_S / starts;
    for (
      let atMs = random.pickExponential(meanMs);
      atMs < durationMs;
      atMs += random.pickExponential(meanMs)
    ) {
      addConversation(kind, index, atMs);
      index += 1;
    }
  }
  drafts.sort((a, b) => a.atMs - b.atMs);
  const seen = new Set<string>();
  return drafts.map((draft, index) => {
    const newTokens = draft.parts.reduce((sum, part) => sum + (seen.has(part.name) ? 0 : part.tokens), 0);
    for (const part of draft.parts) seen.add(part.name);
    return { ...draft, id: `load-${String(seed)}-${String(index)}`, newTokens };
  });
}
