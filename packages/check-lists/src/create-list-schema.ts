import { z } from 'zod';
import { addIssues } from './add-issues.js';

/**
 * Creates a schema of an array. It reports the problems of the first invalid element only and reads no element after it, so
 * that an array of any length costs no more than its valid part.
 */
export function createListSchema<T extends z.ZodType>(element: T): z.ZodType<z.output<T>[]> {
  return z
    .custom<readonly unknown[]>(Array.isArray, 'Invalid input: expected array')
    .transform((items, context) => {
      const list: z.output<T>[] = [];
      for (const item of items) {
        const parsed = element.safeParse(item);
        if (!parsed.success) {
          addIssues(context, list.length, item, parsed.error.issues);
          return z.NEVER;
        }
        list.push(parsed.data);
      }
      return list;
    });
}
