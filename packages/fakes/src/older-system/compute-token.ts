import { createHash } from 'node:crypto';

/** The output token of the fake older system for a prompt at an offset. */
export function computeToken(prompt: string, offset: number): string {
  const hash = createHash('sha256')
    .update(prompt)
    .update(`\0${String(offset)}`)
    .digest('hex');
  return `${hash.slice(0, 6)} `;
}
