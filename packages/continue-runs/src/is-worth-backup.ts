import type { RunFacts } from './run-facts.js';

/** Shortest expected run that gets a copy, milliseconds: a shorter one is rarely hit by the end of its engine. */
const MIN_RUN_MS = 1000;
/** Fewest output tokens of a run that gets a copy: a loss after few tokens is cheap, and a copy would arrive too late. */
const MIN_OUTPUT_TOKENS = 8;
/** Most copies of one host's runs at all engines. */
const MAX_COPIES = 32;

/**
 * Tells whether a run may get a copy at all, before engines are compared: streams whose engine is at risk, and where engines are stated to
 * end often, long ones that cannot be sent again. A copy displaces cached prompts at its engine. Load: each attempt of a call to an engine service with backups.
 */
export function isWorthBackup(run: RunFacts): boolean {
  return (
    run.isStream &&
    run.copies < MAX_COPIES &&
    run.outputTokens >= MIN_OUTPUT_TOKENS &&
    Math.min(run.expectedRunMs, run.remainingMs) >= MIN_RUN_MS &&
    (run.isSourceAtRisk || (!run.isRepeatable && run.engineLifeMs !== undefined))
  );
}
