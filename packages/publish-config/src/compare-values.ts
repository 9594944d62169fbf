/** Lists the paths at which two JSON values differ, in the key order of the first value. */
export function compareValues(
  before: unknown,
  after: unknown,
  path: readonly (string | number)[] = [],
): readonly (readonly (string | number)[])[] {
  const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
    typeof value === 'object' && value !== null;
  if (!isObject(before) || !isObject(after)) return before === after ? [] : [path];
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  const inArray = Array.isArray(before);
  return keys.flatMap((key) =>
    compareValues(before[key], after[key], [...path, inArray ? Number(key) : key]),
  );
}
