// Package platform is the client of the platform's services: the table service
// (DynamoDB JSON protocol), the object store (S3 REST) and the membership list
// (HTTP service-discovery JSON). It keeps connections only; every call has a
// deadline and reports failures as numbered result codes.
package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"

	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

// Config configures the clients.
type Config struct {
	TableURL, TableName string
	ObjectsURL, Bucket  string
	AccessKeyID, Secret string
	// CallTimeout is the deadline of each call.
	CallTimeout time.Duration
	// MaxConcurrent caps concurrent calls, so that a returning store is not overrun.
	MaxConcurrent int
}

// Store is the client of the table service and the object store.
type Store struct {
	cfg     Config
	table   *dynamodb.Client
	objects *s3.Client
	slots   chan struct{}
}

// NewStore returns a client; it opens no connection.
func NewStore(cfg Config) *Store {
	creds := aws.NewCredentialsCache(credentials.NewStaticCredentialsProvider(cfg.AccessKeyID, cfg.Secret, ""))
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxConcurrent, IdleConnTimeout: 30 * time.Second}}
	return &Store{
		cfg: cfg,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(cfg.TableURL), Region: "local", Credentials: creds, HTTPClient: hc,
			Retryer: aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(cfg.ObjectsURL), Region: "local", Credentials: creds, HTTPClient: hc,
			Retryer: aws.NopRetryer{}, UsePathStyle: true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		slots: make(chan struct{}, cfg.MaxConcurrent),
	}
}

// call runs fn with the deadline and within the cap on concurrent calls.
func (s *Store) call(ctx context.Context, op string, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return result.Wrap(result.StoreUnavailable, ctx.Err(), "%s: no free call slot", op)
	}
	err := fn(ctx)
	var ccf *types.ConditionalCheckFailedException
	switch {
	case err == nil, errors.Is(err, store.ErrNotFound):
		return err
	case errors.As(err, &ccf):
		return store.ErrConditionFailed
	}
	return result.Wrap(result.StoreUnavailable, err, "%s failed", op)
}

func key(partition, sort string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		"pk": &types.AttributeValueMemberS{Value: partition},
		"sk": &types.AttributeValueMemberS{Value: sort},
	}
}

// Get reads one row with strong consistency. It returns store.ErrNotFound or an error
// with code StoreUnavailable.
func (s *Store) Get(ctx context.Context, partition, sort string) (store.Row, error) {
	var row store.Row
	err := s.call(ctx, "get "+partition, func(ctx context.Context) error {
		out, err := s.table.GetItem(ctx, &dynamodb.GetItemInput{
			TableName: &s.cfg.TableName, Key: key(partition, sort), ConsistentRead: aws.Bool(true),
		})
		if err != nil {
			return err
		}
		if out.Item == nil {
			return store.ErrNotFound
		}
		row = rowOf(out.Item)
		return nil
	})
	return row, err
}

// Put writes the row on condition that the stored version is expect; 0 means
// that the row must not exist. It returns store.ErrConditionFailed or an error with
// code StoreUnavailable, after which the write may have taken effect: the
// caller reads the row and compares Writer.
func (s *Store) Put(ctx context.Context, row store.Row, expect uint64) error {
	in := &dynamodb.PutItemInput{TableName: &s.cfg.TableName, Item: key(row.Partition, row.Sort)}
	in.Item["ver"] = &types.AttributeValueMemberN{Value: strconv.FormatUint(row.Version, 10)}
	in.Item["writer"] = &types.AttributeValueMemberS{Value: row.Writer}
	in.Item["data"] = &types.AttributeValueMemberB{Value: row.Data}
	if expect == 0 {
		in.ConditionExpression = aws.String("attribute_not_exists(pk)")
	} else {
		in.ConditionExpression = aws.String("ver = :v")
		in.ExpressionAttributeValues = map[string]types.AttributeValue{
			":v": &types.AttributeValueMemberN{Value: strconv.FormatUint(expect, 10)},
		}
	}
	return s.call(ctx, "put "+row.Partition, func(ctx context.Context) error {
		_, err := s.table.PutItem(ctx, in)
		return err
	})
}

// Query returns up to limit rows of a partition with Sort at or after from, in order.
func (s *Store) Query(ctx context.Context, partition, from string, limit int) ([]store.Row, error) {
	var rows []store.Row
	err := s.call(ctx, "query "+partition, func(ctx context.Context) error {
		out, err := s.table.Query(ctx, &dynamodb.QueryInput{
			TableName: &s.cfg.TableName, ConsistentRead: aws.Bool(true), Limit: aws.Int32(int32(limit)),
			KeyConditionExpression: aws.String("pk = :p AND sk >= :s"),
			ExpressionAttributeValues: map[string]types.AttributeValue{
				":p": &types.AttributeValueMemberS{Value: partition},
				":s": &types.AttributeValueMemberS{Value: from},
			},
		})
		if err != nil {
			return err
		}
		for _, item := range out.Items {
			rows = append(rows, rowOf(item))
		}
		return nil
	})
	return rows, err
}

// Delete removes a row; a missing row is not an error.
func (s *Store) Delete(ctx context.Context, partition, sort string) error {
	return s.call(ctx, "delete "+partition, func(ctx context.Context) error {
		_, err := s.table.DeleteItem(ctx, &dynamodb.DeleteItemInput{TableName: &s.cfg.TableName, Key: key(partition, sort)})
		return err
	})
}

func rowOf(item map[string]types.AttributeValue) store.Row {
	var r store.Row
	if v, ok := item["pk"].(*types.AttributeValueMemberS); ok {
		r.Partition = v.Value
	}
	if v, ok := item["sk"].(*types.AttributeValueMemberS); ok {
		r.Sort = v.Value
	}
	if v, ok := item["ver"].(*types.AttributeValueMemberN); ok {
		r.Version, _ = strconv.ParseUint(v.Value, 10, 64)
	}
	if v, ok := item["writer"].(*types.AttributeValueMemberS); ok {
		r.Writer = v.Value
	}
	if v, ok := item["data"].(*types.AttributeValueMemberB); ok {
		r.Data = v.Value
	}
	return r
}

// maxObjectBytes bounds objects that are read into memory.
const maxObjectBytes = 64 << 20

// GetObject reads an object. It returns store.ErrNotFound or an error with code
// StoreUnavailable.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := s.call(ctx, "get object "+name, func(ctx context.Context) error {
		out, err := s.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.cfg.Bucket, Key: &name})
		var api smithy.APIError
		if errors.As(err, &api) && strings.Contains(api.ErrorCode(), "NoSuchKey") {
			return store.ErrNotFound
		}
		if err != nil {
			return err
		}
		defer out.Body.Close()
		body, err = io.ReadAll(io.LimitReader(out.Body, maxObjectBytes))
		return err
	})
	return body, err
}

// PutObject writes an object; writing the same name again replaces it.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	return s.call(ctx, "put object "+name, func(ctx context.Context) error {
		_, err := s.objects.PutObject(ctx, &s3.PutObjectInput{
			Bucket: &s.cfg.Bucket, Key: &name, Body: bytes.NewReader(body), ContentLength: aws.Int64(int64(len(body))),
		})
		return err
	})
}

// ListObjects returns the names that begin with prefix, in order.
func (s *Store) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	in := &s3.ListObjectsV2Input{Bucket: &s.cfg.Bucket, Prefix: &prefix}
	for {
		var out *s3.ListObjectsV2Output
		err := s.call(ctx, "list objects "+prefix, func(ctx context.Context) (err error) {
			out, err = s.objects.ListObjectsV2(ctx, in)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, o := range out.Contents {
			names = append(names, aws.ToString(o.Key))
		}
		if !aws.ToBool(out.IsTruncated) {
			return names, nil
		}
		in.ContinuationToken = out.NextContinuationToken
	}
}
