import type { EntryPoint } from './entry-point.js';

const TIMEOUT_MS = 1_000;

/** Reads a gauge without labels from a daemon's metrics; `undefined` when it does not answer or has no such gauge. */
export async function readGauge(
  { operatorsUrl }: Pick<EntryPoint, 'operatorsUrl'>,
  name: string,
): Promise<number | undefined> {
  try {
    const answer = await fetch(new URL('/metrics', operatorsUrl), {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const line = (await answer.text()).split('\n').find((text) => text.startsWith(`${name} `));
    return line === undefined ? undefined : Number(line.slice(name.length + 1));
  } catch {
    return undefined;
  }
}
