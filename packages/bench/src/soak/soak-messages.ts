/** The settings of a soak's processes, and what they and the soak say to each other. */
export type ProcessSettings =
  | Readonly<{
      role: 'core';
      node: string;
      area: string;
      address: string;
      outward: string;
      platformApiAddress: string;
      seeds: readonly string[];
      founders: readonly string[];
      founds: boolean;
      platform: string;
      data: string;
    }>
  | Readonly<{ role: 'agent'; node: string; area: string; feed: string; seeds: readonly string[] }>
  | Readonly<{ role: 'proxy'; node: string; address: string; outward: string; feed: string }>;

export type DiskFault = 'none' | 'slow' | 'full';

export type ProcessRequest = Readonly<{ kind: 'resources' }> | Readonly<{ kind: 'disk'; fault: DiskFault }>;

export type ProcessMessage =
  /** From now on a signal does not end it unseen. */
  | Readonly<{ kind: 'listening' }>
  | Readonly<{ kind: 'started' }>
  /** The newest order that the proxy acts by. */
  | Readonly<{ kind: 'applied'; order: number }>
  | Readonly<{ kind: 'resources'; heapBytes: number; timers: number; sockets: number }>;
