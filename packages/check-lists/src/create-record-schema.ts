import { z } from 'zod';
import { addIssues } from './add-issues.js';

/** Creates a schema of an object with any keys. Like `createListSchema`, it reads nothing after the first invalid value. */
export function createRecordSchema<T extends z.ZodType>(value: T): z.ZodType<Record<string, z.output<T>>> {
  return z.looseObject({}).transform((members, context) => {
    const entries: [string, z.output<T>][] = [];
    for (const [key, member] of Object.entries(members)) {
      const parsed = value.safeParse(member);
      if (!parsed.success) {
        addIssues(context, key, member, parsed.error.issues);
        return z.NEVER;
      }
      entries.push([key, parsed.data]);
    }
    return Object.fromEntries(entries);
  });
}
