import { UsageError } from 'clipanion';

/** Parses the URL of an option; `variable` is the environment variable that can hold it. */
export function parseUrl(name: string, variable: string, text: string | undefined): string {
  const example = `Type for example: ${name} http://10.0.0.2:8600, or set ${variable}`;
  if (text === undefined) throw new UsageError(`${name} is missing. ${example}`);
  if (!URL.canParse(text) || !/^https?:/.test(text)) {
    throw new UsageError(`${name} must be a URL with http or https, not '${text}'. ${example}`);
  }
  return text;
}
