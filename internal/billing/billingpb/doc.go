// Package billingpb holds the messages of bills: segments, cursors, totals and what peers hold.
package billingpb
