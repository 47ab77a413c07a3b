/** Settings common to cores and agents. */
export type NodeSettings = Readonly<{
  /** This node's id. */
  node: string;
  /** The failure domain of the machine. */
  area: string;
  /** The address for other nodes. */
  address: string;
  /** The address for members and operators. */
  outward: string;
  /** Read each time seeds are contacted, since the settings file may change while the process runs. */
  seeds: () => readonly string[];
  /** Read at each call, since the settings file may change while the process runs. */
  platform: () => string;
}>;
