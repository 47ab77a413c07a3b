/** A fault in a placement configuration as reported to an operator: its location, what is wrong, and how to fix it. */
export type PlacementFault = Readonly<{ row: string; column: string; message: string; remedy: string }>;

/** The names that occur more than once, without repetition. */
function duplicateNames(names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) duplicates.add(name);
    seen.add(name);
  }
  return [...duplicates];
}

/** One fault for each name that occurs more than once. */
function duplicateFaults(
  names: readonly string[],
  location: Readonly<{ row: string; column: string }>,
  remedy: string,
  messageOf: (name: string) => string = duplicateMessage,
): readonly PlacementFault[] {
  return duplicateNames(names).map((name) => ({ ...location, message: messageOf(name), remedy }));
}

function duplicateMessage(name: string): string {
  return `${name} occurs more than once`;
}

/** The first characters of a secret, which are safe to show. */
function abbreviated(secret: string): string {
  return `${secret.slice(0, 4)}…`;
}

export const placementFaults = { duplicateFaults, abbreviated, duplicateMessage } as const;
