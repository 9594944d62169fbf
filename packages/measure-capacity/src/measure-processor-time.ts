const ROUNDS = 5;

/**
 * Measures the processor time of this process for a number of asynchronous calls: microseconds of one call in the best of
 * several rounds. Includes what the runtime does in the background for them.
 */
export async function measureProcessorTime(
  calls: number,
  run: (turn: number) => Promise<unknown>,
): Promise<number> {
  let best = Infinity;
  let turn = 0;
  for (let round = 0; round <= ROUNDS; round += 1) {
    const start = process.cpuUsage();
    for (let i = 0; i < calls; i += 1) await run(turn++);
    const { user, system } = process.cpuUsage(start);
    if (round > 0) best = Math.min(best, (user + system) / calls);
  }
  return best;
}
