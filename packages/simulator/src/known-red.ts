/**
 * Known failures that a check ignores. KNOWN-RED.txt lists them, one per line: `kind: test | command | what was seen | issue`. The check
 * fails if the test of an entry passes again or is not run.
 */
import fs from 'node:fs';

const kinds = ['story', 'seed', 'pooled-seed', 'core-seed', 'wire-seed', 'exploration', 'soak'] as const;
export type KnownRedKind = (typeof kinds)[number];

export type KnownRedEntry = Readonly<{ kind: KnownRedKind; test: string; command: string; seen: string; issue: string }>;
export type TestOutcome = Readonly<{ test: string; isFailed: boolean }>;

export type KnownRedVerdict = Readonly<{
  /** The printed line of each ignored failure. */
  passedOver: readonly string[];
  /** Failed tests that the list does not name. */
  failed: readonly string[];
  /** Entries of the list that are outdated. */
  complaints: readonly string[];
}>;

/** The limit for each kind; the list must stay short. */
const maxEntries = 3;
/** The path of the file. Only CI checks set it, so that a manual run ignores no failure. */
const fileVariable = 'STALLSTALL_KNOWN_RED';

function parseLine(line: string): KnownRedEntry {
  const [first = '', command = '', seen = '', issue = ''] = line.split('|').map((part) => part.trim());
  const [kindText = '', ...rest] = first.split(':');
  const kind = kinds.find((one) => one === kindText.trim());
  const test = rest.join(':').trim();
  if (kind === undefined || [test, command, seen, issue].includes(''))
    throw new Error(`KNOWN-RED.txt: expected 'kind: test | command | what was seen | issue' with a kind of ${kinds.join(', ')}: ${line}`);
  return { kind, test, command, seen, issue };
}

/** @throws Error - a line that is not an entry, a test named twice, or too many entries of a kind */
function parse(text: string): readonly KnownRedEntry[] {
  const entries = text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map(parseLine);
  for (const kind of kinds) {
    const tests = entries.filter((entry) => entry.kind === kind).map((entry) => entry.test);
    if (new Set(tests).size < tests.length) throw new Error(`KNOWN-RED.txt: a ${kind} is named twice`);
    if (tests.length > maxEntries) throw new Error(`KNOWN-RED.txt: ${tests.length} entries of kind ${kind}, ${maxEntries} at most`);
  }
  return entries;
}

/** The entries of a kind; none if the variable is not set. */
function entriesOf(kind: KnownRedKind): readonly KnownRedEntry[] {
  const file = process.env[fileVariable] ?? '';
  if (file === '' || !fs.existsSync(file)) return [];
  return parse(fs.readFileSync(file, 'utf8')).filter((entry) => entry.kind === kind);
}

/** The listed seeds of a kind, which a check runs in addition to its own. */
function seedsOf(kind: KnownRedKind): readonly number[] {
  return entriesOf(kind)
    .map((entry) => Number(entry.test))
    .filter(Number.isSafeInteger);
}

function judge(entries: readonly KnownRedEntry[], outcomes: readonly TestOutcome[]): KnownRedVerdict {
  const failedTests = new Set(outcomes.filter((outcome) => outcome.isFailed).map((outcome) => outcome.test));
  const passedTests = new Set(outcomes.filter((outcome) => !outcome.isFailed).map((outcome) => outcome.test));
  const complaints = entries.flatMap(function complaintsAbout({ kind, test }): readonly string[] {
    if (passedTests.has(test)) return [`known red passes again, remove its entry: ${kind} ${test}`];
    return failedTests.has(test) ? [] : [`known red matches no test that was run: ${kind} ${test}`];
  });
  const failedEntries = entries.filter(({ test }) => failedTests.has(test));
  return {
    passedOver: failedEntries.map(({ kind, test, seen, issue }) => `known red: ${kind} ${test}: ${seen} (issue ${issue})`),
    failed: outcomes.filter(({ test, isFailed }) => isFailed && entries.every((entry) => entry.test !== test)).map(({ test }) => test),
    complaints,
  };
}

/** Compares the outcomes of a kind with the list and prints ignored failures and complaints. Complaints count as failures. */
function report(kind: KnownRedKind, outcomes: readonly TestOutcome[]): Readonly<{ passed: number; failed: number }> {
  const { passedOver, failed, complaints } = judge(entriesOf(kind), outcomes);
  for (const line of [...passedOver, ...complaints]) console.log(line);
  return { passed: outcomes.filter((outcome) => !outcome.isFailed).length, failed: failed.length + complaints.length };
}

export const knownRed = { parse, entriesOf, seedsOf, judge, report } as const;
