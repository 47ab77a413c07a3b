/** What is wrong with a sheet, as an operator is told: where it stands, what is wrong, and how to mend it. */
export type PlacementFault = Readonly<{ row: string; column: string; message: string; remedy: string }>;

/** The names that occur more than once, each of them once. */
function repeated(names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  const twice = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) twice.add(name);
    seen.add(name);
  }
  return [...twice];
}

/** A fault for each name that occurs more than once; `told` words it. */
function repetitions(
  names: readonly string[],
  place: Readonly<{ row: string; column: string }>,
  remedy: string,
  told: (name: string) => string = standsTwice,
): readonly PlacementFault[] {
  return repeated(names).map((name) => ({ ...place, message: told(name), remedy }));
}

function standsTwice(name: string): string {
  return `${name} stands twice`;
}

/** A secret, short enough to be shown. */
function shortened(secret: string): string {
  return `${secret.slice(0, 4)}…`;
}

export const sheetFaults = { repetitions, shortened, standsTwice } as const;
