import type { z } from 'zod';

/** Adds the problems of one element to those of its list or record; `key` is the position of the element. */
export function addIssues(
  context: z.core.$RefinementCtx,
  key: PropertyKey,
  input: unknown,
  issues: readonly z.core.$ZodIssue[],
): void {
  for (const issue of issues)
    context.issues.push({ ...issue, path: [key, ...issue.path], input } as z.core.$ZodRawIssue);
}
