/** To be imported before roarr, which reads this variable only when it is loaded (design 2.2). */
process.env['ROARR_LOG'] = 'true';
