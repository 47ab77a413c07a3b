/** Settings that a core and an agent share. */
export type NodeSettings = Readonly<{
  /** This node's id. */
  node: string;
  /** The failure domain that the machine stands in. */
  area: string;
  /** Where other nodes reach this one, and where members and operators do. */
  address: string;
  outward: string;
  /** Asked at each greeting, since the settings file may change while the process runs. */
  seeds: () => readonly string[];
  /** Asked at each call, since the settings file may change while the process runs. */
  platform: () => string;
}>;
